#include "sequoiausher/transport/gateway/gatewaytestbed.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/testloop.h"
#include "sequoiausher/transport/peers/peeraddress.h"

#include <QTimer>

#include <unistd.h>

namespace Sequoiausher {

namespace {

constexpr const char *signatureField = "X-Signed: yes\r\n";
/** The first words of lines that do not name a target. */
constexpr const char *evacuatedWord = "evacuated";
constexpr const char *takenBackWord = "taken-back";

/** What the dialect below takes for the mark of a target's own answer. */
std::string signedFields(const FakeRequest &request)
{
    return "X-Id: " + request.header("X-Id") + "\r\n" + signatureField;
}

/**
 * An address that nobody listens at. Not one that the kernel gives: those it also gives to connections, which may take
 * it before the gateway does.
 */
std::string freeAddress()
{
    constexpr int firstPort = 20000;
    constexpr int portCount = 10000;
    // A program takes some hundred of them, and programs that run at the same time have neighbouring numbers.
    constexpr int portsOfProgram = 251;
    static int next = getpid() * portsOfProgram;
    while (true) {
        next += 1;
        std::string address = "127.0.0.1:" + std::to_string(firstPort + next % portCount);
        try {
            const StreamListener listener(address, [](int) {});
            return address;
        } catch (const Error &) {
            continue;
        }
    }
}

/** The event loop that gateways run on: Qt's own, which looks at timers and sockets in another order than GLib's. */
QCoreApplication &productLoop()
{
    qputenv("QT_NO_GLIB", "1");
    return Internal::testApplication();
}

/** Reads the next target or evacuation; false at the end. */
bool readLine(std::istream &lines, StoreEvent &event)
{
    event = {};
    std::string first;
    if (!(lines >> first)) {
        return false;
    }
    if (first == evacuatedWord || first == takenBackWord) {
        GatewayEvacuation change;
        lines >> change.dataCentre.value >> change.changedAt;
        change.isEvacuated = first == evacuatedWord;
        event.evacuation = change;
    } else {
        GatewayTarget target;
        target.id.value = first;
        lines >> target.service.value >> target.address >> target.dataCentre.value >> target.softwareVersion;
        event.target = target;
    }
    return true;
}

/** A dialect of the test's own: text lines in the store, fields that begin with X-. */
class TestDialect : public GatewayDialect
{
public:
    CallerRequest readRequest(const HttpHead &head) const override
    {
        CallerRequest request;
        request.host = std::string(head.headers.value("Host"));
        request.attemptId = std::string(head.headers.value("X-Id"));
        request.key = std::string(head.headers.value("X-Key"));
        request.lastEventId = std::string(head.headers.value("X-After"));
        request.resumedAttempt = std::string(head.headers.value("X-Resumes"));
        if (head.headers.has("X-Left")) {
            request.timeLeft = Millis{std::stoll(std::string(head.headers.value("X-Left")))};
        }
        std::istringstream parts{std::string(head.headers.value("X-Parts"))};
        for (std::string part; std::getline(parts, part, ',');) {
            request.parts.push_back({part, 1});
        }
        return request;
    }
    std::string
    targetRequestHead(const HttpHead &head, const CallerRequest &request, const TargetOrder &order) const override
    {
        return head.method + " " + head.target + " HTTP/1.1\r\nX-Id: " + request.attemptId
            + "\r\nX-Target: " + order.target.value + "\r\nX-Left: " + std::to_string(order.timeLeft.count)
            + "\r\nX-Organisation: " + order.organisation.value + "\r\nX-After: " + order.lastEventId
            + "\r\nContent-Length: " + std::to_string(order.bodyBytes) + "\r\n\r\n";
    }
    TargetAnswer readAnswer(const HttpHead &head) const override
    {
        TargetAnswer answer;
        answer.status = head.status;
        answer.didNotRun = head.headers.has("X-Not-Run");
        answer.isMisdirected = head.status == 421;
        answer.isSigned = head.headers.has("X-Signed");
        answer.attemptId = std::string(head.headers.value("X-Id"));
        answer.isLeaving = head.headers.has("X-Leaves");
        if (head.headers.has("X-Rest")) {
            answer.restFor = Millis{std::stoll(std::string(head.headers.value("X-Rest")))};
        }
        answer.isEventStream = head.headers.value("Content-Type") == "text/event-stream";
        return answer;
    }
    std::string passedOnFields(const HttpHead &answer) const override
    {
        return "X-Id: " + std::string(answer.headers.value("X-Id")) + "\r\n" + signatureField;
    }
    std::string attemptField(const CallerRequest &request) const override
    {
        return "X-Id: " + request.attemptId + "\r\n";
    }
    std::string configurationCall() const override
    {
        return "/configuration";
    }
    StoredConfiguration readConfigurationAnswer(int /*status*/, const std::string &body) const override
    {
        std::istringstream lines(body);
        StoredConfiguration stored;
        lines >> stored.storeRevision >> stored.changedAt;
        lines.ignore();
        stored.raw = std::string(std::istreambuf_iterator<char>(lines), {});
        return stored;
    }
    std::string targetsCall(const std::string & /*next*/) const override
    {
        return "/targets";
    }
    StoredTargets readTargetsAnswer(const std::string &body) const override
    {
        std::istringstream lines(body);
        StoredTargets stored;
        lines >> stored.storeRevision;
        StoreEvent entry;
        while (readLine(lines, entry)) {
            if (entry.evacuation) {
                stored.evacuations.push_back(*entry.evacuation);
            } else {
                stored.targets.push_back(*entry.target);
            }
        }
        return stored;
    }
    std::string watchCall(Revision after, Millis /*wait*/) const override
    {
        return "/watch/" + std::to_string(after);
    }
    StoreEvents readWatchAnswer(const std::string &body) const override
    {
        std::istringstream lines(body);
        StoreEvents events;
        lines >> events.storeRevision;
        StoreEvent event;
        while (readLine(lines, event)) {
            events.events.push_back(event);
        }
        return events;
    }
    bool isHistoryGone(int status) const override
    {
        return status == 410;
    }
    std::uint64_t storeEra(const HttpHead &answer) const override
    {
        return answer.headers.has("X-Era") ? std::stoull(std::string(answer.headers.value("X-Era"))) : 0;
    }
    GatewayConfiguration readConfiguration(const std::string &raw) const override
    {
        GatewayConfiguration configuration;
        std::istringstream lines(raw);
        lines >> configuration.revision;
        std::string word;
        while (lines >> word) {
            if (word == "route") {
                GatewayRoute route;
                std::string kind;
                std::string service;
                std::int64_t timeout = 0;
                lines >> route.pathPrefix >> kind >> route.isResumable >> route.mostTargets >> timeout >> service;
                route.name = route.pathPrefix;
                route.host = "x";
                route.kind = parseName<RouteKind>(kind).value_or(RouteKind::AtMostOnce);
                route.timeout = Millis{timeout};
                route.latencyAim = Millis{300};
                route.services = {{PoolId{service}, 1}};
                configuration.routes.push_back(route);
            } else if (word == "key") {
                GatewayOrganisation organisation;
                organisation.keys.emplace_back();
                lines >> organisation.name.value >> organisation.keys.back();
                configuration.organisations.push_back(organisation);
            } else if (word == "route-region") {
                std::string prefix;
                std::string region;
                lines >> prefix >> region;
                for (GatewayRoute &route : configuration.routes) {
                    if (route.pathPrefix == prefix) {
                        route.allowedRegions.push_back(RegionId{region});
                    }
                }
            } else if (word == "organisation-region") {
                configuration.organisations.back().allowedRegions.emplace_back();
                lines >> configuration.organisations.back().allowedRegions.back().value;
            } else if (word == "idle") {
                lines >> configuration.limits.idleTime.count;
            } else {
                throw Error(Step::Decode, "configuration", "unknown word " + word);
            }
        }
        return configuration;
    }
    std::string readinessPath() const override
    {
        return "/ready";
    }
};

} // namespace

GatewayTestbed::GatewayTestbed() : application(productLoop()), dialect(std::make_unique<TestDialect>())
{
    this->settings.name.value = "g1";
    this->settings.dataCentre.value = "a";
    this->settings.store.address = this->store.address();
    this->settings.store.watchTime = Millis{300};
    this->settings.store.watchDelay = Millis{200};
    this->settings.store.callTimeout = Millis{200};
    this->settings.store.proofInterval = Millis{50};
    // Each request earns all retries that it may need, because a gateway that has just started has earned none yet.
    this->settings.repeats = {4, 100, Millis{10000}};
    this->settings.stop = {Millis{2000}, Millis{100}};
    this->settings.address = freeAddress();
    this->settings.readyAddress = freeAddress();
    this->settings.peerAddress = freeAddress();
    this->settings.tunnelPort = parsePeerAddress(freeAddress()).port;
    this->store.ownFields = signedFields;
    this->store.answers = [this](FakeRequest &request) { this->answerStore({request, true}); };
    this->neighboursStore.ownFields = signedFields;
    this->neighboursStore.answers = [this](FakeRequest &request) { this->answerStore({request, false}); };
    this->log = std::make_unique<Log>(LogSettings(), this->logged, &Millis::wallNow);
}

GatewayTestbed::~GatewayTestbed()
{
    this->node.reset();
}

std::string GatewayTestbed::configuration(int revision)
{
    return std::to_string(revision)
        + "\nroute /desk/ at-most-once 0 1 1000 desk\nroute /pair/ at-most-once 0 2 1000 desk\n"
          "route /look/ idempotent 0 2 1000 desk\nroute /talk/ stream 1 2 3000 llm\nroute /once/ stream 0 1 3000 llm\n"
          "key garage k1\n";
}

void GatewayTestbed::publish(const std::string &configuration)
{
    this->content.stored = configuration;
    this->changed();
    this->content.storedAt = this->content.revision;
}

void GatewayTestbed::changed()
{
    this->content.revision += 1;
    // The whole list again: a watch whose history is gone is answered so.
    const auto waiting = std::move(this->watches);
    this->watches.clear();
    for (const auto &[after, request] : waiting) {
        this->wakeWatch(request);
    }
}

void GatewayTestbed::wakeWatch(const FakeRequest &request)
{
    if (this->watchAnswersToLose > 0) {
        this->watchAnswersToLose -= 1;
        return;
    }
    if (this->areWatchAnswersTooLong) {
        constexpr std::size_t tooLong = std::size_t{17} << 20U;
        this->reply(request, "200 OK", std::string(tooLong, '\n'));
        return;
    }
    this->reply(request, "410 Gone", "");
}

void GatewayTestbed::rewriteTarget(const std::string &name)
{
    this->content.revision += 1;
    this->tellWatches(this->targetLine(name));
}

void GatewayTestbed::tellWatches(const std::string &line)
{
    for (const auto &[after, request] : std::exchange(this->watches, {})) {
        this->reply(request, "200 OK", std::to_string(this->content.revision) + "\n" + line);
    }
}

void GatewayTestbed::evacuate(const std::string &dataCentre)
{
    this->content.revision += 1;
    this->content.evacuations[dataCentre] = this->content.revision;
    this->tellWatches(evacuatedWord + (" " + dataCentre + " " + std::to_string(this->content.revision) + "\n"));
}

void GatewayTestbed::takeBack(const std::string &dataCentre)
{
    this->content.revision += 1;
    this->content.evacuations.erase(dataCentre);
    this->tellWatches(takenBackWord + (" " + dataCentre + " " + std::to_string(this->content.revision) + "\n"));
}

void GatewayTestbed::copyStore()
{
    this->copy = this->content;
}

void GatewayTestbed::restoreStore()
{
    this->content = this->copy;
    this->era += 1;
    for (const auto &[after, request] : std::exchange(this->watches, {})) {
        this->reply(request, "410 Gone", "");
    }
}

void GatewayTestbed::reply(const FakeRequest &request, const std::string &status, const std::string &body) const
{
    request.reply(status, body, "X-Era: " + std::to_string(this->era) + "\r\n");
}

std::string GatewayTestbed::targetLine(const std::string &name, bool forFirstGateway) const
{
    const auto path = this->paths.find(name);
    const bool isPath = forFirstGateway && path != this->paths.end();
    return name + " " + this->content.services.at(name) + " "
        + (isPath ? path->second->address() : this->addresses.at(name)) + " " + this->dataCentres.at(name) + " "
        + this->versions.at(name) + "\n";
}

FakeServer &GatewayTestbed::addTarget(const std::string &name,
                                      const std::string &service,
                                      const std::string &dataCentre,
                                      const std::string &version)
{
    this->dataCentres[name] = dataCentre;
    this->versions[name] = version;
    this->targets[name] = std::make_unique<FakeServer>();
    this->targets[name]->ownFields = signedFields;
    this->addresses[name] = this->targets[name]->address();
    this->listTarget(name, service);
    return *this->targets[name];
}

FakePath &GatewayTestbed::addPath(const std::string &name)
{
    this->paths[name] = std::make_unique<FakePath>(this->addresses.at(name));
    this->changed();
    return *this->paths[name];
}

void GatewayTestbed::listTarget(const std::string &name, const std::string &service)
{
    this->content.services[name] = service;
    this->changed();
}

void GatewayTestbed::removeTarget(const std::string &name)
{
    this->content.services.erase(name);
    this->changed();
}

void GatewayTestbed::crashTarget(const std::string &name)
{
    this->targets.erase(name);
}

GatewaySettings GatewayTestbed::settingsOfNeighbour() const
{
    GatewaySettings other = this->settings;
    other.name.value = "g2";
    other.address = freeAddress();
    other.readyAddress = freeAddress();
    other.store.address = this->neighboursStore.address();
    other.peerAddress = "127.0.0.2:" + freeAddress().substr(std::string("127.0.0.1:").size());
    other.seeds = {InstanceId{this->settings.peerAddress}};
    return other;
}

std::string GatewayTestbed::targetsText(bool forFirstGateway) const
{
    std::string text = std::to_string(this->content.revision) + "\n";
    for (const auto &[name, service] : this->content.services) {
        text += this->targetLine(name, forFirstGateway);
    }
    for (const auto &[dataCentre, at] : this->content.evacuations) {
        text += std::string(evacuatedWord) + " " + dataCentre + " " + std::to_string(at) + "\n";
    }
    return text;
}

void GatewayTestbed::holdStore()
{
    this->isStoreHeld = true;
}

void GatewayTestbed::releaseStore()
{
    this->isStoreHeld = false;
    for (const StoreRequest &asked : std::exchange(this->heldCalls, {})) {
        this->answerStore(asked);
    }
}

void GatewayTestbed::answerStore(const StoreRequest &asked)
{
    const FakeRequest &request = asked.request;
    if (this->isStoreSilent) {
        return;
    }
    if (this->isStoreHeld) {
        this->heldCalls.push_back(asked);
        return;
    }
    if (request.head.target == "/configuration") {
        const std::string number = std::to_string(this->content.revision);
        const std::string written = std::to_string(this->content.storedAt);
        this->reply(request,
                    this->content.stored.empty() ? "404 Not Found" : "200 OK",
                    number + " " + written + "\n" + this->content.stored);
    } else if (request.head.target == "/targets") {
        this->reply(request, "200 OK", this->targetsText(asked.isFirstGateway));
    } else if (request.head.target != this->dialect->watchCall(this->content.revision, Millis{0})) {
        this->wakeWatch(request);
    } else {
        this->watchesBegun += 1;
        this->watches.emplace_back(this->content.revision, request);
        QTimer::singleShot(static_cast<int>(this->settings.store.watchTime.count),
                           [this, request, at = this->content.revision] {
                               if (at == this->content.revision && !this->isStoreSilent) {
                                   this->reply(request, "200 OK", std::to_string(at));
                               }
                           });
    }
}

void GatewayTestbed::startWithoutWaiting()
{
    this->node
        = std::make_unique<GatewayNode>(*this->dialect, this->settings, *this->log, [this] { this->isStopped = true; });
    this->node->start();
}

void GatewayTestbed::start()
{
    this->startWithoutWaiting();
    if (!this->content.stored.empty() && !waitFor([this] { return this->node->isReady(); })) {
        throw Error(Step::Report, "gateway", "it is not ready:\n" + this->logged.str());
    }
}

std::string GatewayTestbed::address() const
{
    return this->settings.address;
}

std::string GatewayTestbed::request(const std::string &method, const std::string &path, const std::string &fields) const
{
    return method + " " + path + " HTTP/1.1\r\nHost: x\r\nX-Id: id-1\r\nX-Key: k1\r\n" + fields + "\r\n";
}

CallerReply GatewayTestbed::call(const std::string &method, const std::string &path, const std::string &fields)
{
    FakeCaller caller(this->address());
    caller.send(this->request(method, path, fields));
    waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
    return caller.reply;
}

CallerReply GatewayTestbed::callAnew()
{
    FakeCaller caller(this->address());
    caller.send("GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Key: k1\r\nX-Id: id-" + std::to_string(this->calls++)
                + "\r\n\r\n");
    waitFor([&caller] { return caller.reply.isWhole || caller.reply.hasEnded; });
    return caller.reply;
}

bool GatewayTestbed::waitFor(const std::function<bool()> &done, Millis time)
{
    return Internal::runUntil(done, static_cast<int>(time.count));
}

} // namespace Sequoiausher
