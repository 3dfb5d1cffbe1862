package journaler

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// FileSystem is the part of a file system that a journal needs, within one
// folder. Names have no directories.
type FileSystem interface {
	// Lock creates the folder if need be and keeps other processes out of it.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create opens a new or emptied file for writing.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces a file by another.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals of files durable.
	Sync() error
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// Disk is a folder on a disk.
type Disk struct{ Folder string }

const (
	folderMode = 0o750
	fileMode   = 0o640
)

func (d Disk) path(name string) string { return filepath.Join(d.Folder, name) }

// Lock takes an exclusive advisory lock, which ends with the process.
func (d Disk) Lock(name string) (io.Closer, error) {
	if err := os.MkdirAll(d.Folder, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	file, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, trace.Wrap(err, "%s is in use by another process", d.Folder)
	}
	return file, nil
}

// List returns the names of all files.
func (d Disk) List() ([]string, error) {
	entries, err := os.ReadDir(d.Folder)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// Read returns the content of a file.
func (d Disk) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.path(name))
	return data, trace.ConvertSystemError(err)
}

// Create opens a new or emptied file for writing.
func (d Disk) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append opens a file for writing at its end.
func (d Disk) Append(name string) (File, error) { return d.open(name, os.O_APPEND|os.O_WRONLY) }

func (d Disk) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(d.path(name), flags, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// Rename replaces a file by another.
func (d Disk) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(d.path(from), d.path(to)))
}

// Remove deletes a file.
func (d Disk) Remove(name string) error { return trace.ConvertSystemError(os.Remove(d.path(name))) }

// Sync makes creations, renames and removals of files durable.
func (d Disk) Sync() error {
	folder, err := os.Open(d.Folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer folder.Close()
	return trace.ConvertSystemError(folder.Sync())
}

// writeWhole writes a file that appears under its name only when it is synced.
func writeWhole(files FileSystem, name string, data []byte) error {
	if err := writeTemporary(files, name, data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(reveal(files, name))
}

// writeTemporary writes and syncs a file that reveal gives its name. It leaves
// nothing that counts behind when it fails.
func writeTemporary(files FileSystem, name string, data []byte) error {
	err := writeSynced(files, name+temporarySuffix, data)
	if err != nil {
		_ = files.Remove(name + temporarySuffix) // Open removes what is left
	}
	return err
}

// reveal gives a temporary file its name.
func reveal(files FileSystem, name string) error {
	if err := files.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return files.Sync()
}

func writeSynced(files FileSystem, name string, data []byte) error {
	file, err := files.Create(name)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
