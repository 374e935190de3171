package io.cranberryarch.settings;

/**
 * A key of a client account. Only the digest of its secret part is stored.
 *
 * @param id the public identifier, unique in the fleet
 * @param account the client account
 * @param secretSha256 SHA-256 of the secret part in hexadecimal
 */
public record AccountKey(String id, String account, String secretSha256) {}
