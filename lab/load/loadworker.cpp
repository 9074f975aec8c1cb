#include "lab/load/loadworker.h"

#include "lab/load/answerjudge.h"
#include "sequoiausher/base/hashing.h"

#include <QElapsedTimer>
#include <QTimer>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr std::int64_t nanosPerMicro = 1000;
constexpr double microsPerSecond = 1e6;

/** The digest that the service stand-in answers with. */
std::string digestOf(const std::string &body)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::uint64_t)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash64(body), hexadecimal);
    return {digits.data(), end.ptr};
}

AnswerKind kindOf(const PlannedRequest &request)
{
    if (request.service) {
        return AnswerKind::Service;
    }
    return request.stream ? AnswerKind::Stream : AnswerKind::Whole;
}

/** The two sendings of one request. */
struct Pair
{
    int over = 0;
    int whole = 0;
};

/** One sending. */
struct Sending
{
    Sending(PlannedRequest planned, std::size_t url)
        : request(std::move(planned))
        , urlIndex(url)
        , judge(this->request.service ? digestOf(this->request.body) : this->request.nonce, kindOf(this->request))
    {
    }

    PlannedRequest request;
    std::size_t urlIndex;
    AnswerJudge judge;
    std::int64_t sentAt = 0;
    std::int64_t lastTokenAt = 0;
    bool tokenSeen = false;
    bool isDuplicate = false;
    std::shared_ptr<Pair> pair;
};

} // namespace

/** Everything but the plan lives on the worker's own thread. */
class LoadWorker::Private
{
public:
    Private(LoadWorkerOptions given, std::size_t number) : options(std::move(given)), plan(this->options.plan, number)
    {
    }

    std::int64_t now() const
    {
        return this->clock.nsecsElapsed() / nanosPerMicro;
    }

    bool isOver() const
    {
        return this->now() >= this->options.duration.count * 1000;
    }

    LoadSeries &seriesOf(const PlannedRequest &request)
    {
        const std::string name = request.service ? std::string("service") : std::string(nameOf(request.requestClass));
        return this->report.byKey[{this->options.plan.organisations[request.organisation].name, name}];
    }

    HttpRequest makeRequest(const Sending &sending) const
    {
        const PlannedRequest &planned = sending.request;
        HttpRequest request;
        request.method = "POST";
        request.url = this->options.plan.urls[sending.urlIndex]
            + (planned.service ? this->options.plan.servicePath : std::string("/v1/chat/completions"));
        request.headers.add("Content-Type", "application/json");
        request.headers.add("Authorization", "Bearer " + this->options.plan.organisations[planned.organisation].key);
        request.headers.add("X-Class", std::string(nameOf(planned.requestClass)));
        request.headers.add("X-Deadline-Ms", std::to_string(this->options.deadline.count));
        if (!planned.chat.empty()) {
            request.headers.add("X-Chat-Id", planned.chat);
        }
        if (!planned.idempotencyKey.empty()) {
            request.headers.add("Idempotency-Key", planned.idempotencyKey);
        }
        request.body = planned.body;
        return request;
    }

    void sendNext()
    {
        PlannedRequest request = this->plan.next();
        std::shared_ptr<Pair> pair;
        if (request.sendTwice) {
            pair = std::make_shared<Pair>();
            auto second = std::make_shared<Sending>(request, request.duplicateUrl);
            second->pair = pair;
            second->isDuplicate = true;
            ++this->waitingDuplicates;
            QTimer::singleShot(static_cast<int>(this->options.duplicateDelay.count), this->timer.get(), [this, second] {
                --this->waitingDuplicates;
                this->send(second);
            });
        }
        const std::size_t url = request.url;
        auto first = std::make_shared<Sending>(std::move(request), url);
        first->pair = pair;
        this->send(first);
    }

    void send(const std::shared_ptr<Sending> &sending)
    {
        HttpCallbacks callbacks;
        callbacks.onHead = [sending](int status, const HttpHeaders &headers) { sending->judge.head(status, headers); };
        callbacks.onData = [this, sending](std::string_view bytes) { this->takeData(*sending, bytes); };
        callbacks.onEnd = [this, sending] { this->takeEnd(*sending); };
        callbacks.onError = [this, sending](const ClientError &error) {
            ++this->seriesOf(sending->request).errors[error.kind];
            this->finish(*sending, false);
        };
        ++this->seriesOf(sending->request).sent;
        sending->sentAt = this->now();
        const RequestOptions how{.firstByteTimeout = this->options.deadline, .deadline = this->options.deadline};
        this->client->send(this->makeRequest(*sending), how, std::move(callbacks));
    }

    void takeData(Sending &sending, std::string_view bytes)
    {
        const std::size_t tokens = sending.judge.data(bytes);
        if (tokens == 0) {
            return;
        }
        const std::int64_t at = this->now();
        LoadSeries &series = this->seriesOf(sending.request);
        if (std::exchange(sending.tokenSeen, true)) {
            series.betweenTokens.add(at - sending.lastTokenAt);
        } else {
            series.firstToken.add(at - sending.sentAt);
        }
        // Tokens that came together were at the caller together.
        for (std::size_t i = 1; i < tokens; ++i) {
            series.betweenTokens.add(0);
        }
        series.tokens += tokens;
        sending.lastTokenAt = at;
    }

    void takeEnd(Sending &sending)
    {
        const AnswerVerdict verdict = sending.judge.finish();
        LoadSeries &series = this->seriesOf(sending.request);
        ++series.verdicts[verdict];
        if (verdict == AnswerVerdict::Refused) {
            ++series.refusals[{sending.judge.status(), sending.judge.ran()}];
        }
        const bool whole = verdict == AnswerVerdict::Whole;
        if (whole) {
            series.whole.add(this->now() - sending.sentAt);
            series.promptTokens += sending.judge.promptTokens();
            series.cachedTokens += sending.judge.cachedTokens();
        }
        if (whole && !sending.isDuplicate) {
            this->plan.answered(sending.request, sending.judge.text());
        }
        this->finish(sending, whole);
    }

    void finish(const Sending &sending, bool whole)
    {
        if (sending.pair) {
            sending.pair->whole += whole ? 1 : 0;
            if (++sending.pair->over == 2) {
                std::uint64_t &count = sending.pair->whole == 2 ? this->report.pairsBothWhole
                    : sending.pair->whole == 1                  ? this->report.pairsOneWhole
                                                                : this->report.pairsNoneWhole;
                ++count;
            }
        }
        // From the event loop, so that calls that fail at once don't pile up on the stack.
        if (this->options.rate <= 0 && !sending.isDuplicate) {
            QTimer::singleShot(0, this->timer.get(), [this] {
                if (!this->isOver()) {
                    this->sendNext();
                }
            });
        }
    }

    /** Sends what is due in the open loop. */
    void tick()
    {
        if (this->options.rate <= 0) {
            return;
        }
        const std::int64_t at = std::min(this->now(), this->options.duration.count * 1000);
        while (this->nextDue <= static_cast<double>(at)) {
            this->report.largestSendLag
                = std::max(this->report.largestSendLag, this->now() - static_cast<std::int64_t>(this->nextDue));
            this->nextDue += this->plan.nextGap(this->options.rate) * microsPerSecond;
            if (this->client->openCalls() >= this->options.maximumOpen) {
                ++this->report.notSent;
            } else {
                this->sendNext();
            }
        }
    }

    bool isDone() const
    {
        const std::int64_t drained = (this->options.duration + this->options.drain).count * 1000;
        return this->isOver()
            && ((this->client->openCalls() == 0 && this->waitingDuplicates == 0) || this->now() >= drained);
    }

    LoadWorkerOptions options;
    LoadPlan plan;
    LoadReport report;
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<QTimer> timer;
    QElapsedTimer clock;
    double nextDue = 0;
    std::size_t waitingDuplicates = 0;
};

LoadWorker::LoadWorker(LoadWorkerOptions options, std::size_t number)
    : d(std::make_unique<Private>(std::move(options), number))
{
}

LoadWorker::~LoadWorker()
{
    this->quit();
    this->wait();
}

const LoadReport &LoadWorker::report() const
{
    return this->d->report;
}

void LoadWorker::run()
{
    this->d->client = std::make_unique<HttpClient>(HttpClientOptions{.maximumIdlePerTarget = 4096});
    this->d->timer = std::make_unique<QTimer>();
    this->d->timer->setTimerType(Qt::PreciseTimer);
    QObject::connect(this->d->timer.get(), &QTimer::timeout, this->d->timer.get(), [this] {
        this->d->tick();
        if (this->d->isDone()) {
            this->quit();
        }
    });
    this->d->clock.start();
    this->d->timer->start(1);
    if (this->d->options.rate <= 0) {
        for (std::size_t i = 0; i < this->d->options.concurrency; ++i) {
            this->d->sendNext();
        }
    }
    this->exec();
    this->d->report.seconds = static_cast<double>(this->d->now()) / microsPerSecond;
    this->d->client->cancelAll();
    this->d->timer.reset();
    this->d->client.reset();
}

} // namespace Sequoiausher::Lab
