package org.marjoramswitch.kernel.addresses;

/**
 * Options of the selection of addresses.
 *
 * @param maxAddresses how many addresses a response can list
 * @param enabled if false, a response lists the first eligible instances in their order
 */
public record SelectionOptions(int maxAddresses, boolean enabled) {}
