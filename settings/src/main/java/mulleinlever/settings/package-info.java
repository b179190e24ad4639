/**
 * Reads configuration: JSON, the settings of a sidecar, and the TOML files that enable optional
 * features. Invalid input is reported by an {@link mulleinlever.settings.InvalidInputException}
 * whose message names the place.
 */
package mulleinlever.settings;
