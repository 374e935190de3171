package io.cranberryarch.node.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.api.ApiJson;
import io.cranberryarch.api.ChangeRequest;
import io.cranberryarch.api.EditBody;
import io.cranberryarch.api.RefusalBody;
import io.cranberryarch.api.SettingsBody;
import io.cranberryarch.node.FleetFixture;
import io.cranberryarch.node.Node;
import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.standin.PlatformFaults;
import io.cranberryarch.store.SettingsLog;
import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Step definitions of the scenarios that verify the invariants of the request path. */
public final class InvariantSteps {

    private static final String BURST = "/teams/shop/accounts/acme/burst";
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final List<String> instances = new ArrayList<>();
    private final List<CompletableFuture<HttpResponse<String>>> inProgress = new ArrayList<>();
    private final List<Integer> observedStatuses = new ArrayList<>();
    private FleetFixture fleet;
    private HttpResponse<String> lastResponse;

    @Before
    public void start() throws Exception {
        fleet = new FleetFixture();
    }

    @After
    public void stop() throws Exception {
        fleet.close();
    }

    @Given("instance {string} of service {string} in availability zone {string}")
    public void addInstance(String instance, String service, String zone) throws Exception {
        fleet.add(instance, zone, service, 100);
        instances.add(instance);
    }

    @Given("all instances have discovered each other")
    public void awaitReady() throws Exception {
        fleet.awaitReady();
    }

    @When("a caller requests {string} at instance {string}")
    public void request(String target, String instance) throws Exception {
        lastResponse = send(toRequest(instance, target, true));
    }

    @When("a caller without a key requests {string} at instance {string}")
    public void requestWithoutKey(String target, String instance) throws Exception {
        lastResponse = send(toRequest(instance, target, false));
    }

    @Then("the response status is {int}")
    public void checkStatus(int status) {
        assertEquals(status, lastResponse.statusCode(), lastResponse.body());
    }

    @Then("the response status is {int} and the body ends with {string}")
    public void checkResponse(int status, String end) {
        checkStatus(status);
        assertTrue(lastResponse.body().endsWith(end), lastResponse.body());
    }

    @Then("the request is refused with {int} as not run")
    public void checkRefusal(int status) throws Exception {
        checkStatus(status);
        assertEquals(
                "not-run",
                ApiJson.MAPPER.readValue(lastResponse.body(), RefusalBody.class).execution());
    }

    @Then("no upstream has received a key")
    public void checkNoCredentials() {
        for (int i = 0; i < instances.size(); i++) {
            assertEquals(0, fleet.getUpstream(i).getCredentialCount());
        }
    }

    @Given("a caller that each instance has served")
    public void requestAtEach() throws Exception {
        for (String instance : instances) {
            assertEquals(200, send(toRequest(instance, "/orders/1", true)).statusCode());
        }
    }

    @Given("the platform is down")
    public void stopPlatform() {
        fleet.getPlatform().setFaults(new PlatformFaults(true, 0, false));
    }

    @When("an operator withdraws the key at instance {string}")
    public void withdraw(String instance) throws Exception {
        HttpRequest request = toAdmin(instance, "/v1/withdraw?key=k1")
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        assertEquals(200, send(request).statusCode());
    }

    @Then("the same caller is eventually refused by each instance")
    public void awaitRefused() throws Exception {
        for (String instance : instances) {
            FleetFixture.await(() -> toStatus(instance, "/orders/1") == 401);
            assertEquals(401, toStatus(instance, "/orders/1"));
        }
    }

    @When("two operators set different bursts of the client account from the same version at two instances")
    public void changeConcurrently() throws Exception {
        long version = readBurst(instances.get(0)).version();
        List<CompletableFuture<HttpResponse<String>>> pending = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            HttpRequest request = toChange(instances.get(i), "race-" + i, version, String.valueOf(500 + i));
            pending.add(CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> change : pending) {
            observedStatuses.add(change.join().statusCode());
        }
    }

    @Then("one of them succeeds and the other fails with a conflict")
    public void checkConflict() {
        assertEquals(List.of(200, 409), observedStatuses.stream().sorted().toList());
    }

    @When("the responses of the platform are lost while an operator sets a burst of the client account")
    public void changeWithLostResponse() throws Exception {
        long version = readBurst(instances.get(0)).version();
        fleet.getPlatform().setFaults(new PlatformFaults(false, 0, true));
        send(toChange(instances.get(0), "lost-1", version, "700"));
        fleet.getPlatform().setFaults(PlatformFaults.NONE);
        HttpResponse<String> again = send(toChange(instances.get(0), "lost-1", version, "700"));
        assertEquals(200, again.statusCode(), again.body());
    }

    @Then("the log contains the change once")
    public void checkLog() throws Exception {
        List<SettingChange> changes = new SettingsLog(fleet.getPlatform().getPlatform()).readAfter(0);
        assertEquals(
                1,
                changes.stream()
                        .filter(change -> change.changeId().equals("lost-1"))
                        .count());
    }

    @Then("the accepted burst eventually takes effect at each instance")
    public void awaitAcceptedBurst() throws Exception {
        List<SettingChange> changes = new SettingsLog(fleet.getPlatform().getPlatform()).readAfter(0);
        String accepted = changes.get(changes.size() - 1).edits().get(0).value().orElseThrow();
        for (String instance : instances) {
            FleetFixture.await(() -> readBurstOrEmpty(instance).equals(accepted));
        }
    }

    @When("a caller sends the order {string} {int} times at each instance")
    public void sendOrder(String key, int times) throws Exception {
        FleetFixture.await(() -> sendOrder(instances.get(0), key) == 200);
        for (int i = 0; i < times; i++) {
            for (String instance : instances) {
                observedStatuses.add(sendOrder(instance, key));
            }
        }
    }

    private int sendOrder(String instance, String key) {
        HttpRequest request = HttpRequest.newBuilder(toEntry(instance, "/orders/new"))
                .header("Authorization", "Bearer " + FleetFixture.KEY)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("one tag"))
                .build();
        try {
            return send(request).statusCode();
        } catch (IOException | InterruptedException e) {
            return 0;
        }
    }

    @Then("the order {string} ran once")
    public void checkOrder(String key) {
        int executions = 0;
        for (int i = 0; i < instances.size(); i++) {
            executions += fleet.getUpstream(i).getExecutionCount(key);
        }
        assertEquals(1, executions, "statuses " + observedStatuses);
        assertTrue(observedStatuses.contains(200), "statuses " + observedStatuses);
    }

    @When("the upstream of instance {string} announces that it is draining")
    public void announceDraining(String instance) throws Exception {
        int index = instances.indexOf(instance);
        URI local = URI.create("http://127.0.0.1:" + fleet.getNode(index).getLocalPort());
        fleet.getUpstream(index).announce(local, "draining", 100);
    }

    @Then("eventually every request for {string} at each instance is served by {string}")
    public void checkServedBy(String target, String expected) throws Exception {
        for (String instance : instances) {
            FleetFixture.await(() -> toBody(instance, target).startsWith(expected));
            for (int i = 0; i < 20; i++) {
                lastResponse = send(toRequest(instance, target, true));
                checkStatus(200);
                assertTrue(lastResponse.body().startsWith(expected), lastResponse.body());
            }
        }
    }

    @Given("{int} requests for {string} in progress at instance {string}")
    public void startRequests(int count, String target, String instance) {
        for (int i = 0; i < count; i++) {
            inProgress.add(CLIENT.sendAsync(toRequest(instance, target, true), HttpResponse.BodyHandlers.ofString()));
        }
    }

    @When("instance {string} is stopped")
    public void stopInstance(String instance) throws Exception {
        Node node = fleet.getNode(instances.indexOf(instance));
        FleetFixture.await(() -> node.getInFlight() > 0);
        node.close();
    }

    @Then("all requests in progress complete with status {int}")
    public void checkInProgress(int status) {
        for (CompletableFuture<HttpResponse<String>> request : inProgress) {
            assertEquals(status, request.join().statusCode(), request.join().body());
        }
    }

    private URI toEntry(String instance, String target) {
        return URI.create(fleet.getEntryUri(instances.indexOf(instance)) + target);
    }

    private HttpRequest toRequest(String instance, String target, boolean hasKey) {
        HttpRequest.Builder request = HttpRequest.newBuilder(toEntry(instance, target));
        return hasKey
                ? request.header("Authorization", "Bearer " + FleetFixture.KEY).build()
                : request.build();
    }

    private HttpRequest.Builder toAdmin(String instance, String target) {
        return HttpRequest.newBuilder(URI.create(fleet.getAdminUri(instances.indexOf(instance)) + target))
                .header("Authorization", "Bearer " + FleetFixture.OWNER_TOKEN);
    }

    private HttpRequest toChange(String instance, String changeId, long version, String burst) throws IOException {
        ChangeRequest change = new ChangeRequest(changeId, version, List.of(new EditBody(BURST, burst)));
        byte[] body = ApiJson.MAPPER.writeValueAsBytes(change);
        return toAdmin(instance, "/v1/settings")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    private SettingsBody readBurst(String instance) throws Exception {
        HttpResponse<String> response =
                send(toAdmin(instance, "/v1/settings?path=" + BURST).build());
        return ApiJson.MAPPER.readValue(response.body(), SettingsBody.class);
    }

    private String readBurstOrEmpty(String instance) {
        try {
            return readBurst(instance).values().getOrDefault(BURST, "");
        } catch (Exception e) {
            return "";
        }
    }

    private int toStatus(String instance, String target) {
        try {
            return send(toRequest(instance, target, true)).statusCode();
        } catch (IOException | InterruptedException e) {
            return 0;
        }
    }

    private String toBody(String instance, String target) {
        try {
            return send(toRequest(instance, target, true)).body();
        } catch (IOException | InterruptedException e) {
            return "";
        }
    }

    private static HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
