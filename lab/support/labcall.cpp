#include "lab/support/labcall.h"

#include <QtCore/QByteArray>
#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtCore/QJsonDocument>

namespace Sequoiausher::Lab {

QJsonObject LabAnswer::json() const
{
    return QJsonDocument::fromJson(QByteArray(this->body.data(), static_cast<qsizetype>(this->body.size()))).object();
}

class LabCaller::Private
{
public:
    explicit Private(std::uint16_t port)
        : base("http://127.0.0.1:" + std::to_string(port))
        , client(std::make_unique<HttpClient>(HttpClientOptions{}))
    {
    }

    std::string base;
    std::unique_ptr<HttpClient> client;
};

LabCaller::LabCaller(std::uint16_t port) : d(std::make_unique<Private>(port))
{
}

LabCaller::~LabCaller() = default;

LabAnswer LabCaller::call(const std::string &method,
                          const std::string &path,
                          const std::string &body,
                          const HttpHeaders &headers,
                          Millis limit)
{
    const PendingAnswer answer = this->start(method, path, body, headers, limit);
    waitFor([&answer] { return answer->whole || answer->error; }, limit + Millis{1000});
    return *answer;
}

PendingAnswer LabCaller::start(const std::string &method,
                               const std::string &path,
                               const std::string &body,
                               const HttpHeaders &headers,
                               Millis limit)
{
    auto answer = std::make_shared<LabAnswer>();
    HttpCallbacks callbacks;
    callbacks.onHead = [answer](int status, const HttpHeaders &received) {
        answer->status = status;
        answer->headers = received;
    };
    callbacks.onData = [answer](std::string_view bytes) { answer->body += bytes; };
    callbacks.onEnd = [answer] { answer->whole = true; };
    callbacks.onError = [answer](const ClientError &error) { answer->error = error.kind; };
    HttpRequest request;
    request.method = method;
    request.url = this->d->base + path;
    request.headers = headers;
    request.body = body;
    RequestOptions options;
    options.firstByteTimeout = limit;
    options.deadline = limit;
    this->d->client->send(request, options, std::move(callbacks));
    return answer;
}

bool LabCaller::waitFor(const std::function<bool()> &done, Millis limit)
{
    constexpr int waitMs = 5;
    const Millis end = Millis::monotonicNow() + limit;
    while (!done() && Millis::monotonicNow() < end) {
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, waitMs);
    }
    return done();
}

void LabCaller::hangUp()
{
    this->d->client->cancelAll();
}

} // namespace Sequoiausher::Lab
