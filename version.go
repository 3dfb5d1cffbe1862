package redwingshunt

// Version is the version of the programs in this module.
const Version = "0.1.0"
