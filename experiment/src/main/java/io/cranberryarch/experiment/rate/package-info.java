/** A model of a fleet that shares the rates of client accounts, without sockets. */
package io.cranberryarch.experiment.rate;
