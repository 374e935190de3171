/** The rules that a hosted platform's operators set for requests: routes, services, client accounts and limits. */
package io.cranberryarch.settings.serving;
