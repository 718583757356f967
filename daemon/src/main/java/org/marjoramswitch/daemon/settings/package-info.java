/** The instance's own settings file: its model, validation and parsing. */
@NullMarked
package org.marjoramswitch.daemon.settings;

import org.jspecify.annotations.NullMarked;
