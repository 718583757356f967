/** The commands, one class each: they parse the options, call the other packages and print the results. */
@NullMarked
package org.marjoramswitch.tool.command;

import org.jspecify.annotations.NullMarked;
