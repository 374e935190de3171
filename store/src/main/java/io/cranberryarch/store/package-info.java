/** Clients of the platform's transactional table and object store, behind narrow interfaces. */
package io.cranberryarch.store;
