package journaler

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// FileSystem holds the file operations that a journal needs, within one folder.
// Names have no directories.
type FileSystem interface {
	// Lock creates the folder if it is missing and excludes other processes.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create opens a file for writing; it truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames a file and replaces any file that has the new name.
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

// Disk is a FileSystem on a folder of the local disk.
type Disk struct{ Folder string }

const (
	folderMode = 0o750
	fileMode   = 0o640
)

func (d Disk) path(name string) string { return filepath.Join(d.Folder, name) }

// Lock takes an exclusive advisory lock, which the kernel releases when the
// process exits.
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

// Create opens a file for writing; it truncates an existing one.
func (d Disk) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append opens an existing file for writing at its end.
func (d Disk) Append(name string) (File, error) { return d.open(name, os.O_APPEND|os.O_WRONLY) }

func (d Disk) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(d.path(name), flags, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// Rename renames a file and replaces any file that has the new name.
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

// writeAtomic writes and syncs a file before it appears under its name.
func writeAtomic(files FileSystem, name string, data []byte) error {
	if err := writeTemporary(files, name, data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(renameTemporary(files, name))
}

// writeTemporary writes and syncs a file that renameTemporary renames later. On
// failure it removes the file; Open removes one that it could not.
func writeTemporary(files FileSystem, name string, data []byte) error {
	err := writeSynced(files, name+temporarySuffix, data)
	if err != nil {
		_ = files.Remove(name + temporarySuffix) // best effort: Open removes leftovers
	}
	return err
}

// renameTemporary renames a temporary file to its final name and syncs the folder.
func renameTemporary(files FileSystem, name string) error {
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
