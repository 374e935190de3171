/** The commands for operators: settings, accounts, keys, routes, status, drain, request traces and the day report. */
package io.cranberryarch.operator;
