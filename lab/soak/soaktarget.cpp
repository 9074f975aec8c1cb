#include "lab/soak/soaktarget.h"

#include "lab/soak/streamcheck.h"
#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int tickMs = 5;
/** How long a request that ends its target runs. */
constexpr int crashingMs = 50;
/** Requests that a target of a plain service, and of one that streams, runs at once. */
constexpr std::uint32_t plainSlots = 6;
constexpr std::uint32_t streamSlots = 16;
constexpr std::uint32_t promptSlots = 64;
constexpr std::int64_t tokensReadPerMs = 57;
/** So many streams beside each other double the pause between the events of each. */
constexpr std::int64_t streamsThatDouble = 24;
constexpr const char *streamService = "llm";
constexpr std::size_t usualPadding = 200;
/** How long a plain request and the first event take, and the pause between events. */
constexpr std::int64_t leastWorkMs = 15;
constexpr std::int64_t mostWorkMs = 60;
constexpr Millis eventPause{25};
/** The pause of two in three streams of a long route: with it some last longer than the grace of a planned stop. */
constexpr std::uint64_t leastLongPauseMs = 100;
constexpr std::uint64_t mostLongPauseMs = 550;
constexpr std::uint64_t longPauseParts = 3;
constexpr std::int64_t slowTimes = 12;
/** Of the streams that end with their connection so many break off, whatever else is wrong with their target. */
constexpr double brokenShare = 0.4;
constexpr const char *closeField = "Connection: close\r\n";
constexpr Millis never{1LL << 40};

bool isStreamPath(const std::string &path)
{
    return path.starts_with("/chat/") || path.starts_with("/note/") || path.starts_with(longPathPrefix);
}

Millis pauseOf(const std::string &path, const std::string &streamId)
{
    const std::uint64_t draw = hash64("pause of " + streamId);
    if (!path.starts_with(longPathPrefix) || draw % longPauseParts == 0) {
        return eventPause;
    }
    const std::uint64_t spread = mostLongPauseMs + 1 - leastLongPauseMs;
    return Millis{static_cast<std::int64_t>(leastLongPauseMs + draw / longPauseParts % spread)};
}

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

struct SoakTarget::Work
{
    FakeRequest request;
    StandInDialect::ReadOrder order;
    TargetMood mood = TargetMood::Well;
    bool isStream = false;
    Millis nextAt;
    Millis deadline;
    /** The attempt that began the stream. */
    std::string streamId;
    /** The next event of a stream, and the one at which a spoilt one breaks. */
    std::uint32_t nextEvent = 1;
    std::uint32_t lastEvent = 0;
    std::uint32_t breakAt = 0;
    bool hasBegun = false;
    /** Its answer has neither a length nor chunks. */
    bool isUnframed = false;
    bool isSilent = false;
    /** Nothing of its answer is sent. */
    bool isLost = false;
    /** The gateway has closed the connection. */
    bool isGone = false;
};

SoakTarget::SoakTarget(std::string with, SoakJudge &by, std::uint64_t seed)
    : name(std::move(with))
    , judge(by)
    , random(seed)
{
    QObject::connect(&this->timer, &QTimer::timeout, [this] { this->tick(Millis::monotonicNow()); });
}

SoakTarget::~SoakTarget()
{
    this->crash();
}

void SoakTarget::start(const std::string &forService)
{
    this->lives += 1;
    this->currentLife = this->name + "-" + std::to_string(this->lives);
    this->currentService = forService;
    this->mood = TargetMood::Well;
    this->losingShare = 0;
    this->readParts.clear();
    this->readingUntil = Millis{0};
    this->server = std::make_unique<FakeServer>("127.0.0.1:" + std::to_string(this->reserved.number()));
    this->server->isRecording = false;
    this->server->answers = [this](FakeRequest &request) { this->handle(request); };
    this->server->lost = [this](const FakeConnection &connection) { this->lost(connection); };
    this->timer.start(tickMs);
}

void SoakTarget::crash()
{
    this->timer.stop();
    this->works.clear();
    this->server.reset();
}

bool SoakTarget::isAlive() const
{
    return this->server != nullptr;
}

const std::string &SoakTarget::life() const
{
    return this->currentLife;
}

const std::string &SoakTarget::service() const
{
    return this->currentService;
}

std::uint16_t SoakTarget::port() const
{
    return this->reserved.number();
}

std::uint32_t SoakTarget::slots() const
{
    const std::uint32_t ofStreams = this->readsPrompts ? promptSlots : streamSlots;
    return this->currentService == streamService ? ofStreams : plainSlots;
}

std::uint32_t SoakTarget::held() const
{
    return static_cast<std::uint32_t>(this->works.size());
}

void SoakTarget::setMood(TargetMood to, double share)
{
    this->mood = to;
    this->moodShare = share;
}

void SoakTarget::setUnframed(bool on)
{
    this->hasUnframedAnswers = on;
    this->breaksStreams = on;
}

void SoakTarget::stopBreaking()
{
    this->breaksStreams = false;
}

void SoakTarget::setLosing(double share)
{
    this->losingShare = share;
}

void SoakTarget::setUnasked(bool on)
{
    this->sendsUnasked = on;
}

void SoakTarget::handle(const FakeRequest &request)
{
    const Millis now = Millis::monotonicNow();
    auto work = std::make_unique<Work>();
    work->request = request;
    work->order = StandInDialect::readOrder(request.head);
    if (work->order.expectedTarget != this->currentLife) {
        request.reply("421 Misdirected Request", "");
        return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    work->mood = chance(this->random) < this->moodShare ? this->mood : TargetMood::Well;
    SoakArrival arrival;
    arrival.id = work->order.attemptId;
    arrival.target = this->currentLife;
    arrival.service = this->currentService;
    arrival.at = now;
    arrival.runs = this->works.size() < this->slots() && work->mood != TargetMood::Full;
    arrival.organisation = work->order.organisation;
    arrival.method = request.head.method;
    arrival.path = request.head.target;
    arrival.body = request.body;
    arrival.timeLeft = work->order.timeLeft;
    arrival.hasKey = work->order.hasKey;
    arrival.hasForged = work->order.hasForged;
    arrival.held = this->held();
    arrival.ofService = this->holdings ? this->holdings(this->currentService) : ServiceHolding{};
    const std::string part = std::string(crashingPart) + ":";
    const bool hasPart = work->order.parts.starts_with(part) || work->order.parts.find("," + part) != std::string::npos;
    arrival.endsTarget = arrival.path == crashingPath || hasPart;
    this->judge.arrived(arrival);
    if (!arrival.runs) {
        request.reply("503 Service Unavailable", "", StandInDialect::notRunField());
        return;
    }
    if (arrival.endsTarget && this->ends) {
        QTimer::singleShot(crashingMs, [this, life = this->currentLife] {
            if (this->isAlive() && this->currentLife == life) {
                this->ends();
            }
        });
        work->isSilent = true;
    }
    work->isStream = isStreamPath(arrival.path);
    work->isLost = this->losingShare > 0 && chance(this->random) < this->losingShare;
    work->isUnframed = this->hasUnframedAnswers && hash64(arrival.id + this->currentLife) % 2 == 0;
    if (this->breaksStreams && work->isUnframed && work->isStream && chance(this->random) < brokenShare) {
        work->mood = TargetMood::Unframed;
    }
    std::uniform_int_distribution<std::int64_t> span(leastWorkMs, mostWorkMs);
    const bool isSlow = work->mood == TargetMood::Slow || request.body.size() >= largeBodyBytes;
    const std::int64_t times = isSlow ? slowTimes : 1;
    const Millis readAt = work->isStream && this->readsPrompts ? this->readPrompt(work->order.parts, now) : now;
    work->nextAt = readAt + Millis{span(this->random) * times};
    work->deadline = now + work->order.timeLeft.value_or(never);
    work->streamId = work->order.resumedAttempt.empty() ? arrival.id : work->order.resumedAttempt;
    work->lastEvent = eventsOf(work->streamId);
    if (!work->order.lastEventId.empty()) {
        work->nextEvent = static_cast<std::uint32_t>(std::atoi(work->order.lastEventId.c_str())) + 1;
    }
    std::uniform_int_distribution<std::uint32_t> place(work->nextEvent, std::max(work->lastEvent, work->nextEvent));
    work->breakAt = place(this->random);
    this->works.push_back(std::move(work));
}

Millis SoakTarget::readPrompt(const std::string &parts, Millis now)
{
    std::istringstream list(parts);
    std::int64_t tokens = 0;
    for (std::string part; std::getline(list, part, ',');) {
        if (this->readParts.insert(part).second) {
            tokens += std::atoll(part.substr(part.find(':') + 1).c_str());
        }
    }
    this->readingUntil = std::max(this->readingUntil, now) + Millis{tokens / tokensReadPerMs};
    return this->readingUntil;
}

void SoakTarget::tick(Millis now)
{
    const auto over = std::stable_partition(
        this->works.begin(), this->works.end(), [this, now](const auto &work) { return this->advance(*work, now); });
    this->works.erase(over, this->works.end());
}

void SoakTarget::ended(const Work &work, RunEnd how)
{
    this->judge.runEnded(work.order.attemptId, this->currentLife, how, Millis::monotonicNow());
}

std::string SoakTarget::fieldsOf(const Work &work, int status)
{
    const std::string signature = this->currentLife + "." + work.order.attemptId + "." + std::to_string(status);
    const std::string fields = StandInDialect::answerFields(work.order.attemptId, signature);
    return fields
        + (this->readsPrompts && this->currentService == streamService
               ? StandInDialect::loadField(this->held(), 0, this->slots())
               : "");
}

/** False once it is over. */
bool SoakTarget::advance(Work &work, Millis now)
{
    if (work.isGone || work.isSilent) {
        return !work.isGone && now < work.deadline;
    }
    if (now >= work.deadline) {
        // It stops at the end of its time, and says so where it has said nothing yet.
        this->ended(work, RunEnd::Spoilt);
        if (work.hasBegun) {
            work.request.reset();
        } else {
            this->judge.made(this->currentLife + "." + work.order.attemptId + ".504", 504, "");
            work.request.reply("504 Gateway Timeout", "", this->fieldsOf(work, 504));
        }
        return false;
    }
    if (now < work.nextAt) {
        return true;
    }
    if (work.mood == TargetMood::Mute && !work.isStream) {
        work.isSilent = true;
        this->ended(work, RunEnd::Spoilt);
        return true;
    }
    if (work.isStream && work.mood != TargetMood::Failing) {
        return this->advanceStream(work, now);
    }
    if (work.isLost) {
        this->ended(work, RunEnd::Spoilt);
        return false;
    }
    this->answer(work);
    return false;
}

void SoakTarget::answer(Work &work)
{
    const std::string &id = work.order.attemptId;
    const bool isWide = id.rfind(widePrefix, 0) == 0 && work.mood == TargetMood::Well;
    const std::size_t padding = isWide ? wideBytes : usualPadding;
    const std::string body = "result of " + id + " by " + this->currentLife + std::string(padding, '.');
    const auto signature
        = [this, &id](int status) { return this->currentLife + "." + id + "." + std::to_string(status); };
    this->judge.made(signature(200), 200, body);
    const std::string head = "HTTP/1.1 200 OK\r\n" + this->fieldsOf(work, 200);
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    switch (work.mood) {
    case TargetMood::Failing:
        this->judge.made(signature(500), 500, "no");
        this->ended(work, RunEnd::Answered);
        work.request.reply("500 Internal Server Error", "no", this->fieldsOf(work, 500));
        return;
    case TargetMood::Reset:
        this->ended(work, RunEnd::Spoilt);
        work.request.reset();
        return;
    case TargetMood::BreakOff:
        this->ended(work, RunEnd::Spoilt);
        work.request.send(head + length + body.substr(0, body.size() / 2));
        work.request.reset();
        return;
    case TargetMood::Unframed:
        this->ended(work, RunEnd::Spoilt);
        work.request.send(head + closeField + "\r\n" + body.substr(0, body.size() / 2));
        work.request.reset();
        return;
    case TargetMood::Foreign:
        this->ended(work, RunEnd::Spoilt);
        work.request.send("HTTP/1.1 200 OK\r\n" + StandInDialect::answerFields("other-" + id, "other." + id) + length
                          + body);
        return;
    case TargetMood::Extra:
        this->ended(work, RunEnd::Answered);
        work.request.send(head + length + body + head + length + body);
        return;
    case TargetMood::Well:
    case TargetMood::Slow:
    case TargetMood::Full:
    case TargetMood::Mute:
        break;
    }
    this->ended(work, RunEnd::Answered);
    if (work.isUnframed) {
        work.request.send(head + closeField + "\r\n" + body);
        work.request.close();
    } else {
        work.request.send(head + length + body);
        if (this->sendsUnasked) {
            work.request.send("HTTP/1.1 503 Service Unavailable\r\n" + StandInDialect::notRunField()
                              + "Content-Length: 0\r\n\r\n");
        }
    }
}

bool SoakTarget::advanceStream(Work &work, Millis now)
{
    if (!work.isLost && !std::exchange(work.hasBegun, true)) {
        this->judge.made(this->currentLife + "." + work.order.attemptId + ".200", 200, "");
        work.request.send("HTTP/1.1 200 OK\r\n" + this->fieldsOf(work, 200) + "Content-Type: text/event-stream\r\n"
                          + (work.isUnframed ? closeField : "Transfer-Encoding: chunked\r\n") + "\r\n");
    }
    const bool breaks = work.mood == TargetMood::Mute || work.mood == TargetMood::Reset
        || work.mood == TargetMood::BreakOff || work.mood == TargetMood::Unframed;
    if (breaks && work.nextEvent >= work.breakAt) {
        this->spoil(work);
        return work.isSilent;
    }
    if (work.nextEvent <= work.lastEvent) {
        sendPart(work, eventOf(work.streamId, work.nextEvent, this->currentLife));
        work.nextEvent += 1;
    }
    if (work.nextEvent > work.lastEvent) {
        this->ended(work, work.isLost ? RunEnd::Spoilt : RunEnd::Answered);
        if (!work.isLost && work.isUnframed) {
            work.request.close();
        } else if (!work.isLost) {
            work.request.send("0\r\n\r\n");
        }
        return false;
    }
    work.nextAt
        = now + pauseOf(work.request.head.target, work.streamId) * (work.mood == TargetMood::Slow ? slowTimes : 1);
    if (this->readsPrompts) {
        work.nextAt += Millis{eventPause.count * std::int64_t{this->held()} / streamsThatDouble};
    }
    return true;
}

void SoakTarget::sendPart(const Work &work, const std::string &bytes)
{
    if (!work.isLost) {
        work.request.send(work.isUnframed ? bytes : chunk(bytes));
    }
}

void SoakTarget::spoil(Work &work)
{
    this->ended(work, RunEnd::Spoilt);
    if (work.mood == TargetMood::Mute) {
        work.isSilent = true;
        return;
    }
    if (work.mood != TargetMood::Reset) {
        const std::string event = eventOf(work.streamId, work.nextEvent, this->currentLife);
        sendPart(work, event.substr(0, event.size() / 2));
    }
    const bool closes = work.mood == TargetMood::Unframed || (work.isUnframed && work.mood == TargetMood::BreakOff);
    if (closes) {
        work.request.close();
    } else {
        work.request.reset();
    }
}

void SoakTarget::lost(const FakeConnection &connection)
{
    // It may come in the middle of a tick: the work is taken out there.
    for (const auto &work : this->works) {
        if (work->request.connection.get() == &connection && !std::exchange(work->isGone, true)) {
            this->ended(*work, RunEnd::Cancelled);
        }
    }
}

} // namespace Sequoiausher::Lab
