/**
 * Settings of a host: file format, validation and generated accessors.
 */
package carawayswitch.settings;
