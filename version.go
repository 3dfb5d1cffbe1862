package redwingshunt

// Version is the version of the programs built from this tree.
const Version = "0.1.0"
