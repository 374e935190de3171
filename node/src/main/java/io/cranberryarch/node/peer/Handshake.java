package io.cranberryarch.node.peer;

import io.cranberryarch.base.Digests;
import io.cranberryarch.node.NodeIdentity;
import io.cranberryarch.wire.FrameCodec;
import io.cranberryarch.wire.HelloMessage;
import io.cranberryarch.wire.MalformedFrameException;
import io.cranberryarch.wire.ProofMessage;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Authenticates both ends of a connection to each other by the shared secret of the fleet.
 *
 * <p>Each end sends a hello message with a random nonce. Its proof is a keyed digest of its role and both hello
 * messages, so that a proof cannot be replayed on another connection or in the other direction.
 */
final class Handshake {

    private static final int NONCE_BYTES = 16;

    private final byte[] secret;
    private final boolean isInitiator;
    private final HelloMessage ownHello;
    private HelloMessage peerHello;

    Handshake(String secret, NodeIdentity identity, boolean isInitiator) {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        this.isInitiator = isInitiator;
        this.ownHello = new HelloMessage(
                FrameCodec.PROTOCOL_VERSION,
                identity.instance(),
                identity.incarnation(),
                Digests.randomBytes(NONCE_BYTES));
    }

    HelloMessage getOwnHello() {
        return ownHello;
    }

    HelloMessage getPeerHello() {
        return peerHello;
    }

    ProofMessage onHello(HelloMessage hello) throws MalformedFrameException {
        if (peerHello != null) {
            throw new MalformedFrameException("duplicate hello");
        }
        if (hello.version() != FrameCodec.PROTOCOL_VERSION) {
            throw new MalformedFrameException("protocol version " + hello.version() + " is not supported");
        }
        if (hello.nonce().length != NONCE_BYTES) {
            throw new MalformedFrameException("nonce has " + hello.nonce().length + " bytes");
        }
        peerHello = hello;
        return new ProofMessage(computeMac(isInitiator, ownHello, peerHello));
    }

    void onProof(ProofMessage proof) throws MalformedFrameException {
        if (peerHello == null) {
            throw new MalformedFrameException("proof before hello");
        }
        if (!Digests.isEqual(proof.mac(), computeMac(!isInitiator, peerHello, ownHello))) {
            throw new MalformedFrameException("proof does not match the secret of the fleet");
        }
    }

    private byte[] computeMac(boolean byInitiator, HelloMessage sender, HelloMessage receiver) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        data.write(byInitiator ? 1 : 2);
        data.writeBytes(sender.nonce());
        data.writeBytes(receiver.nonce());
        data.writeBytes((sender.instance() + "/" + sender.incarnation()).getBytes(StandardCharsets.UTF_8));
        return Digests.toHmac(secret, data.toByteArray());
    }
}
