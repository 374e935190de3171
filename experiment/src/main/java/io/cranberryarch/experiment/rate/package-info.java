/** A model of a fleet that shares the rates of client accounts, without network connections. */
package io.cranberryarch.experiment.rate;
