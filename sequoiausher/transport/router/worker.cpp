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
    }

    void run() override;
    void serve(QObject &context);

    Node &node;
    const Log &log;
    Metrics &metrics;
    HttpServerOptions options;
    std::uint64_t seed;
    std::promise<std::optional<Error>> listening;
    std::atomic<QObject *> loop{nullptr};
    std::atomic<std::size_t> open{0};
    /** Set and used on this thread. */
    HttpServer *server = nullptr;
    bool closesIdle = false;
};

void Worker::Private::run()
{
    QObject context;
    try {
        this->serve(context);
    } catch (const Error &error) {
        this->listening.set_value(error);
    }
}

void Worker::Private::serve(QObject &context)
{
    HttpClient client{HttpClientOptions{}};
    Entry entry(SessionContext{this->node, client, context, this->log, this->metrics}, this->seed);
    HttpServer http(entry, this->options);
    http.listen();
    this->server = &http;
    this->loop = &context;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        entry.tick(Millis::monotonicNow());
        this->open = std::max(entry.openSessions(), http.openExchanges());
        // Not before the notice is over: a caller that has not yet heard of the stop may be sending its next request
        // on such a connection, and would see it reset.
        if (this->closesIdle) {
            http.closeIdleConnections();
        }
    });
    timer.start(tickMillis);
    this->listening.set_value(std::nullopt);
    this->exec();
    this->loop = nullptr;
    this->server = nullptr;
}

Worker::Worker(Node &node, const Log &log, Metrics &metrics, const HttpServerOptions &options, std::uint64_t seed)
    : d(std::make_unique<Private>(node, log, metrics, options, seed))
{
}

Worker::~Worker()
{
    this->d->quit();
    this->d->wait();
}

void Worker::start()
{
    std::future<std::optional<Error>> listening = this->d->listening.get_future();
    this->d->QThread::start();
    if (const std::optional<Error> error = listening.get()) {
        throw Error(*error);
    }
}

void Worker::stopAccepting()
{
    QMetaObject::invokeMethod(
        this->d->loop,
        [this] {
            this->d->server->stopAccepting();
            this->d->closesIdle = true;
        },
        Qt::QueuedConnection);
}

std::size_t Worker::openRequests() const
{
    return this->d->open;
}

} // namespace Sequoiausher
