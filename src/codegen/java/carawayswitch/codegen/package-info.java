/**
 * Generator of messages and settings from the schema.
 */
package carawayswitch.codegen;
