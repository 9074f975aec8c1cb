#include "sequoiausher/transport/router/router.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/transport/peers/peeraddress.h"
#include "sequoiausher/transport/router/node.h"
#include "sequoiausher/transport/router/operatorserver.h"
#include "sequoiausher/transport/router/worker.h"

#include <QTimer>

#include <algorithm>
#include <random>

namespace Sequoiausher {

namespace {

constexpr int drainCheckMillis = 50;
constexpr int handoverCheckMillis = 10;
constexpr int suppressedEveryMillis = 3000;
/** After the last request, so that the last messages leave and late callers find a closed door, not a reset. */
constexpr int lastWordsMillis = 300;
/** How long the answers may take that tell of the end of the grace. */
constexpr Millis lastAnswersLimit{1000};
/** Workers count again after this time at the latest. */
constexpr int workersCountMillis = drainCheckMillis * 4;

// Wall-clock milliseconds, which grow from start to start; no two lives of one name may share an incarnation, and
// nothing else rests on the clock.
Incarnation newIncarnation()
{
    return static_cast<Incarnation>(Millis::wallNow().count);
}

} // namespace

class Router::Private
{
public:
    Private(const RouterSettings &theSettings, const Log &theLog, std::function<void()> whenStopped)
        : settings(theSettings)
        , log(theLog)
        , onStopped(std::move(whenStopped))
        , node(theSettings, newIncarnation(), theLog, metrics)
    {
    }

    std::size_t openRequests() const;
    void stopWorkers();
    void awaitEnd();
    void cutOff(std::size_t open);
    void awaitLastAnswers();
    void handOver();
    void awaitHandover();
    void finish();

    RouterSettings settings;
    const Log &log;
    std::function<void()> onStopped;
    Metrics metrics;
    Node node;
    std::unique_ptr<OperatorServer> operators;
    std::vector<std::unique_ptr<Worker>> workers;
    QTimer timer;
    QTimer suppressedTimer;
    Millis stopAt = Millis::never();
    bool stopping = false;
};

std::size_t Router::Private::openRequests() const
{
    std::size_t open = 0;
    for (const auto &worker : this->workers) {
        open += worker->openRequests();
    }
    return open;
}

void Router::Private::stopWorkers()
{
    for (const auto &worker : this->workers) {
        worker->stopAccepting();
    }
    this->stopAt = Millis::monotonicNow() + this->settings.drain.grace;
    // The first look comes only after the workers have counted what came with the last connections.
    QTimer::singleShot(workersCountMillis, &this->timer, [this] { this->awaitEnd(); });
}

void Router::Private::awaitEnd()
{
    const std::size_t open = this->openRequests();
    const bool late = Millis::monotonicNow() >= this->stopAt;
    if (open > 0 && !late) {
        QTimer::singleShot(drainCheckMillis, &this->timer, [this] { this->awaitEnd(); });
        return;
    }
    if (open > 0) {
        this->cutOff(open);
    } else {
        this->handOver();
    }
}

// What is known of each request is told to its caller, who could not tell from a lost connection whether another
// attempt is safe.
void Router::Private::cutOff(std::size_t open)
{
    this->log.error(LogPart::Main, "the grace time is over, requests are cut off", {{"open", std::to_string(open)}});
    for (const auto &worker : this->workers) {
        worker->cutOff();
    }
    this->stopAt = Millis::monotonicNow() + lastAnswersLimit;
    QTimer::singleShot(workersCountMillis, &this->timer, [this] { this->awaitLastAnswers(); });
}

void Router::Private::awaitLastAnswers()
{
    if (this->openRequests() > 0 && Millis::monotonicNow() < this->stopAt) {
        QTimer::singleShot(drainCheckMillis, &this->timer, [this] { this->awaitLastAnswers(); });
        return;
    }
    this->handOver();
}

// Only now is every answer that this router will ever have among those that it keeps.
void Router::Private::handOver()
{
    this->node.handOverAnswers();
    this->awaitHandover();
}

void Router::Private::awaitHandover()
{
    if (!this->node.hasHandedOver()) {
        QTimer::singleShot(handoverCheckMillis, &this->timer, [this] { this->awaitHandover(); });
        return;
    }
    this->finish();
}

void Router::Private::finish()
{
    this->node.endLeaving();
    QTimer::singleShot(lastWordsMillis, &this->timer, [this] {
        this->log.info(LogPart::Main, "stopped");
        this->onStopped();
    });
}

Router::Router(const RouterSettings &settings, const Log &log, std::function<void()> onStopped)
    : d(std::make_unique<Private>(settings, log, std::move(onStopped)))
{
}

Router::~Router()
{
    // Workers use the node until their threads have ended, and wake each other's requests.
    for (const auto &worker : this->d->workers) {
        worker->stop();
    }
    this->d->workers.clear();
}

void Router::start()
{
    this->d->node.start();
    const PeerAddress address = parsePeerAddress(this->d->settings.address);
    HttpServerOptions options;
    options.address = address.host;
    options.port = address.port;
    options.sharePort = true;
    options.maximumRequestBytes = this->d->settings.limits.maxBodyBytes + this->d->settings.limits.maxHeaderBytes;
    if (!this->d->settings.operators.address.empty()) {
        this->d->operators
            = std::make_unique<OperatorServer>(this->d->node, this->d->metrics, this->d->log, [this] { this->stop(); });
        this->d->operators->listen();
    }
    // A burst of one sentence that stops would else keep its count until the sentence comes again.
    QObject::connect(&this->d->suppressedTimer, &QTimer::timeout, [this] { this->d->log.writeSuppressed(); });
    this->d->suppressedTimer.start(suppressedEveryMillis);
    // Each worker has a listener of its own, over which the kernel spreads the connections.
    const std::size_t workers = std::max<std::size_t>(this->d->settings.workers, 1);
    options.maximumConnections = (this->d->settings.limits.maxConnections + workers - 1) / workers;
    options.maximumHeldBytes = this->d->settings.limits.heldBytes / workers;
    std::random_device entropy;
    for (std::uint32_t i = 0; i < this->d->settings.workers; ++i) {
        const std::uint64_t seed = (std::uint64_t{entropy()} << 32U) | entropy();
        this->d->workers.push_back(
            std::make_unique<Worker>(this->d->node, this->d->log, this->d->metrics, options, seed));
        this->d->workers.back()->start();
    }
    this->d->log.info(LogPart::Main,
                      "listening",
                      {{"name", this->d->settings.name.value},
                       {"address", this->d->settings.address},
                       {"peer_address", this->d->settings.peerAddress}});
}

void Router::stop()
{
    if (this->d->stopping) {
        return;
    }
    this->d->stopping = true;
    this->d->log.info(LogPart::Main, "a planned stop begins");
    this->d->node.beginLeaving();
    const int notice = static_cast<int>(this->d->settings.drain.notice.count);
    QTimer::singleShot(notice, &this->d->timer, [this] { this->d->stopWorkers(); });
}

} // namespace Sequoiausher
