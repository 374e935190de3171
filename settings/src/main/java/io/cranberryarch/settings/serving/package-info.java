/** The rules for requests set by a hosted platform's operators: routes, services, client accounts and limits. */
package io.cranberryarch.settings.serving;
