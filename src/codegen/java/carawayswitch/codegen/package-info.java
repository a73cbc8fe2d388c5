/**
 * Code generator for messages and settings, driven by the schema.
 */
package carawayswitch.codegen;
