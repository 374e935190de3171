package io.cranberryarch.node;

import dagger.Component;
import io.cranberryarch.node.call.CallService;
import io.cranberryarch.node.call.Gate;
import io.cranberryarch.node.call.IdempotencyKeyService;
import io.cranberryarch.node.config.SettingsService;
import io.cranberryarch.node.http.NodeHttpServer;
import io.cranberryarch.node.lease.LeaseService;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.node.rate.RateService;
import io.cranberryarch.node.rate.TokenRouter;
import io.cranberryarch.node.report.CountsReporter;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import javax.inject.Named;
import javax.inject.Singleton;

/** Provides the components that {@link Node} starts and stops. */
@Singleton
@Component(modules = NodeModule.class)
interface NodeComponent {

    CallService calls();

    CountsReporter counts();

    NodeHttpServer httpServer();

    Gate gate();

    IdempotencyKeyService keys();

    LeaseService leases();

    RateService rates();

    TokenRouter tokens();

    MemberService members();

    PeerNetwork network();

    SettingsService settings();

    @Named("timer")
    ScheduledThreadPoolExecutor timer();

    @Named("blocking")
    ScheduledThreadPoolExecutor blocking();
}
