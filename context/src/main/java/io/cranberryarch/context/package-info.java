/** The context, outcome and refusal of requests in progress, and their authenticated tokens and keys. */
package io.cranberryarch.context;
