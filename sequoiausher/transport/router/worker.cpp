#include "sequoiausher/transport/router/worker.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/router/entry.h"

#include <QMetaObject>
#include <QObject>
#include <QThread>
#include <QTimer>

#include <atomic>
#include <future>
#include <optional>

namespace Sequoiausher {

namespace {

constexpr int tickMillis = 50;

} // namespace

class Worker::Private : public QThread
{
public:
    Private(Node &theNode, const Log &theLog, Metrics &theMetrics, const HttpServerOptions &theOptions, std::uint64_t s)
        : node(theNode)
        , log(theLog)
        , metrics(theMetrics)
        , options(theOptions)
        , seed(s)
    {
        this->loop.moveToThread(this);
    }

    void run() override;
    void serve();
    /** What a stop waits for. */
    std::size_t openOf(const Entry &entry) const;

    Node &node;
    const Log &log;
    Metrics &metrics;
    HttpServerOptions options;
    std::uint64_t seed;
    std::promise<std::optional<Error>> listening;
    /**
     * Lives on this thread, and longer than it: another worker that appends to an answer followed here, or the node,
     * may post to it until all threads have ended. Were it gone by then, the stop of a router would end in a crash.
     */
    QObject loop;
    std::atomic<std::size_t> open{0};
    std::atomic<std::uint16_t> port{0};
    /** Set and used on this thread. */
    HttpServer *server = nullptr;
    Entry *serving = nullptr;
    bool closesIdle = false;
};

void Worker::Private::run()
{
    try {
        this->serve();
    } catch (const Error &error) {
        this->listening.set_value(error);
    }
}

void Worker::Private::serve()
{
    HttpClient client{HttpClientOptions{}};
    Entry entry(SessionContext{this->node, client, this->loop, this->log, this->metrics}, this->seed);
    HttpServer http(entry, this->options);
    http.listen();
    this->port = http.port();
    this->server = &http;
    this->serving = &entry;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        entry.tick(Millis::monotonicNow());
        this->open = this->openOf(entry);
        // Not before the notice is over: a caller that has not yet heard of the stop may be sending its next request
        // on such a connection, and would see it reset.
        if (this->closesIdle) {
            http.closeIdleConnections();
        }
    });
    timer.start(tickMillis);
    this->listening.set_value(std::nullopt);
    this->exec();
    this->server = nullptr;
    this->serving = nullptr;
}

// Goes wrong where a stop looks at requests alone: the end of an answer that its caller takes slowly is lost with the
// process, and a request of which a part has come ends without a word. Connections without either are closed meanwhile.
std::size_t Worker::Private::openOf(const Entry &entry) const
{
    const std::size_t ofServer = this->closesIdle ? this->server->openConnections() : this->server->openExchanges();
    return std::max(entry.openSessions(), ofServer);
}

Worker::Worker(Node &node, const Log &log, Metrics &metrics, const HttpServerOptions &options, std::uint64_t seed)
    : d(std::make_unique<Private>(node, log, metrics, options, seed))
{
}

Worker::~Worker()
{
    this->stop();
}

void Worker::start()
{
    std::future<std::optional<Error>> listening = this->d->listening.get_future();
    this->d->QThread::start();
    if (const std::optional<Error> error = listening.get()) {
        throw Error(*error);
    }
}

std::uint16_t Worker::port() const
{
    return this->d->port;
}

void Worker::stopAccepting()
{
    const auto close = [this] {
        if (this->d->server != nullptr) {
            this->d->server->stopAccepting();
            this->d->closesIdle = true;
        }
    };
    QMetaObject::invokeMethod(&this->d->loop, close, Qt::QueuedConnection);
}

void Worker::cutOff()
{
    const auto cut = [this] {
        if (this->d->server != nullptr) {
            this->d->serving->cutOff(Millis::monotonicNow());
            this->d->server->refuseIncomplete();
        }
    };
    QMetaObject::invokeMethod(&this->d->loop, cut, Qt::QueuedConnection);
}

void Worker::stop()
{
    this->d->quit();
    this->d->wait();
}

std::size_t Worker::openRequests() const
{
    return this->d->open;
}

} // namespace Sequoiausher
