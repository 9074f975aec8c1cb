#include "sequoiausher/cli/operatorclient.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/http/httpclient.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <algorithm>
#include <array>

namespace Sequoiausher {

namespace {

constexpr std::size_t atATime = 64;

/** Qt's event loops need the application object, which a test program may have made already. */
std::unique_ptr<QCoreApplication> makeApplication()
{
    static int count = 1;
    static std::array<char, 13> name{"sequoiausher"};
    static std::array<char *, 2> arguments{name.data(), nullptr};
    if (QCoreApplication::instance() != nullptr) {
        return nullptr;
    }
    return std::make_unique<QCoreApplication>(count, arguments.data());
}

} // namespace

std::string routerAt(const std::string &address)
{
    return "router at " + address;
}

std::string PageAnswer::reason() const
{
    if (!this->failure.empty()) {
        return this->failure;
    }
    return "it answered with status " + std::to_string(this->status)
        + "; where its settings have [operators], only that address shows it";
}

class OperatorClient::Private
{
public:
    explicit Private(Millis timeLimit) : application(makeApplication()), timeout(timeLimit)
    {
    }

    void askSome(std::vector<PageAnswer> &answers, std::size_t from, std::size_t to, const PageRequest &request);

    std::unique_ptr<QCoreApplication> application;
    Millis timeout;
    HttpClient client{HttpClientOptions{}};
};

void OperatorClient::Private::askSome(std::vector<PageAnswer> &answers,
                                      std::size_t from,
                                      std::size_t to,
                                      const PageRequest &request)
{
    QEventLoop loop;
    std::size_t open = to - from;
    const auto ended = [&] {
        --open;
        if (open == 0) {
            loop.quit();
        }
    };
    for (std::size_t i = from; i < to; ++i) {
        PageAnswer &answer = answers[i];
        HttpRequest call;
        call.method = request.method;
        call.url = "http://" + answer.address + request.path;
        if (!request.token.empty()) {
            call.headers.add("Authorization", "Bearer " + request.token);
        }
        HttpCallbacks callbacks;
        callbacks.onHead = [&answer](int status, const HttpHeaders & /*headers*/) { answer.status = status; };
        callbacks.onData = [&answer](std::string_view bytes) { answer.body += bytes; };
        callbacks.onEnd = ended;
        callbacks.onError = [&answer, ended](const ClientError &error) {
            answer.failure = error.reason.empty() ? std::string(nameOf(error.kind)) : error.reason;
            ended();
        };
        this->client.send(call, {this->timeout, this->timeout, true}, std::move(callbacks));
    }
    if (open > 0) {
        loop.exec();
    }
}

OperatorClient::OperatorClient(Millis timeout) : d(std::make_unique<Private>(timeout))
{
}

OperatorClient::~OperatorClient() = default;

std::vector<PageAnswer> OperatorClient::ask(const std::vector<std::string> &addresses, const PageRequest &request)
{
    std::vector<PageAnswer> answers;
    for (const std::string &address : addresses) {
        answers.push_back({address, 0, "", ""});
    }
    for (std::size_t from = 0; from < answers.size(); from += atATime) {
        this->d->askSome(answers, from, std::min(from + atATime, answers.size()), request);
    }
    return answers;
}

std::string OperatorClient::get(const std::string &address, const std::string &path)
{
    const PageAnswer answer = this->ask({address}, {"GET", path, ""}).front();
    if (!answer.isGood()) {
        throw Error(Step::Connect, routerAt(address), answer.reason());
    }
    return answer.body;
}

} // namespace Sequoiausher
