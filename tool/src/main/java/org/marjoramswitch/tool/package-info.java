/** Main class, command declarations and exit codes of the command-line tool. */
@NullMarked
package org.marjoramswitch.tool;

import org.jspecify.annotations.NullMarked;
