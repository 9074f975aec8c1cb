#include "lab/soak/soakstore.h"

#include <QTimer>

#include <algorithm>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

/** A page of a list: small, so that a dozen targets already take two. */
constexpr std::size_t pageItems = 8;
constexpr int usualDelayMs = 4;
constexpr int slowDelayMs = 300;
/** The share of answers that a losing store loses. */
constexpr double lostShare = 0.3;

} // namespace

SoakStore::SoakStore(std::uint64_t seed) : random(seed)
{
    this->server.isRecording = false;
    this->server.answers = [this](FakeRequest &request) { this->handle(request); };
}

std::string SoakStore::address() const
{
    return this->server.address();
}

std::string SoakStore::addReader(std::function<std::string(const std::string &address)> path)
{
    Reader &reader = *this->readers.emplace_back(std::make_unique<Reader>());
    reader.server.isRecording = false;
    reader.server.answers = [this](FakeRequest &request) { this->handle(request); };
    reader.path = std::move(path);
    return reader.server.address();
}

void SoakStore::addTargetAddress(const std::string &address)
{
    this->targetAddresses.push_back(address);
}

std::vector<StandInDialect::StoreItem> SoakStore::seenBy(const FakeRequest &request,
                                                         std::vector<StandInDialect::StoreItem> all) const
{
    const auto reader = std::find_if(this->readers.begin(), this->readers.end(), [&request](const auto &each) {
        return &each->server == request.connection->server;
    });
    if (reader == this->readers.end()) {
        return all;
    }
    for (StandInDialect::StoreItem &item : all) {
        for (const std::string &address : this->targetAddresses) {
            const std::string quoted = '"' + address + '"';
            if (const std::size_t at = item.value.find(quoted); at != std::string::npos) {
                item.value.replace(at + 1, address.size(), (*reader)->path(address));
                break;
            }
        }
    }
    return all;
}

void SoakStore::write(const std::string &key, const std::string &value)
{
    this->changed({key, value, 0, false});
}

void SoakStore::remove(const std::string &key)
{
    if (this->items.contains(key)) {
        this->changed({key, {}, 0, true});
    }
}

void SoakStore::changed(StandInDialect::StoreItem item)
{
    this->revision += 1;
    item.changedAt = this->revision;
    if (item.isRemoved) {
        this->items.erase(item.key);
    } else {
        this->items[item.key] = item;
    }
    this->history.push_back(std::move(item));
    const auto waiting = std::exchange(this->watches, {});
    for (const auto &[number, one] : waiting) {
        this->reply(
            one.request,
            StandInDialect::watchAnswer(this->seenBy(one.request, this->eventsAfter(one.after)), this->revision));
    }
}

void SoakStore::setMood(StoreMood to)
{
    this->mood = to;
    if (to == StoreMood::Reset) {
        for (const auto &[number, one] : std::exchange(this->watches, {})) {
            one.request.reset();
        }
    }
}

void SoakStore::compact()
{
    this->forgotten = this->revision;
    this->history.clear();
    for (const auto &[number, one] : std::exchange(this->watches, {})) {
        one.request.reset();
    }
}

void SoakStore::copy()
{
    this->copiedItems = this->items;
    this->copiedRevision = this->revision;
}

void SoakStore::restore()
{
    this->items = this->copiedItems;
    this->revision = this->copiedRevision;
    this->era += 1;
    this->compact();
}

std::vector<std::string> SoakStore::keys() const
{
    std::vector<std::string> all;
    for (const auto &[key, item] : this->items) {
        all.push_back(key);
    }
    return all;
}

void SoakStore::setListFault(ListFault fault)
{
    this->listFault = fault;
}

std::size_t SoakStore::listCalls() const
{
    return this->listCallCount;
}

std::size_t SoakStore::badCalls() const
{
    return this->badCallCount;
}

void SoakStore::refuse(const FakeRequest &request, const std::string &status) const
{
    request.reply(status, "{}", StandInDialect::eraField(this->era));
}

void SoakStore::handle(FakeRequest &request)
{
    if (this->mood == StoreMood::Silent) {
        return;
    }
    if (this->mood == StoreMood::Reset) {
        request.reset();
        return;
    }
    if (this->mood == StoreMood::Busy) {
        this->refuse(request, "503 Service Unavailable");
        return;
    }
    if (this->mood == StoreMood::PouringBody) {
        request.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        this->pour(request, "10000\r\n" + std::string(65536, ' ') + "\r\n");
        return;
    }
    if (this->mood == StoreMood::PouringHead) {
        request.send("HTTP/1.1 200 OK\r\n");
        this->pour(request, "a:\r\n");
        return;
    }
    const StandInDialect::StoreCall call = StandInDialect::readStoreCall(request.head.target);
    switch (call.kind) {
    case StandInDialect::StoreCall::Kind::Configuration: {
        const auto item = this->items.find(StandInDialect::configurationKey());
        if (item == this->items.end()) {
            this->refuse(request, "404 Not Found");
        } else {
            this->reply(request, StandInDialect::itemAnswer(item->second, this->revision));
        }
        return;
    }
    case StandInDialect::StoreCall::Kind::Range:
        this->listCallCount += 1;
        if (this->listFault == ListFault::Refused && call.afterKey != StandInDialect::configurationKey()) {
            this->refuse(request, "400 Bad Request");
            return;
        }
        this->reply(request,
                    this->listFault == ListFault::None || this->listFault == ListFault::Refused
                        ? this->range(request, call)
                        : this->faultyPage());
        return;
    case StandInDialect::StoreCall::Kind::Watch:
        this->watch(request, call);
        return;
    case StandInDialect::StoreCall::Kind::Unknown:
        this->badCallCount += 1;
        this->refuse(request, "400 Bad Request");
        return;
    }
}

void SoakStore::pour(const FakeRequest &request, const std::string &piece)
{
    constexpr std::size_t mostPending = std::size_t{1} << 20U;
    constexpr int piecesAtOnce = 16;
    const bool isPouring = this->mood == StoreMood::PouringBody || this->mood == StoreMood::PouringHead;
    if (!isPouring || !request.connection->stream->isOpen()) {
        request.close();
        return;
    }
    for (int i = 0; i < piecesAtOnce && request.connection->stream->pendingBytes() < mostPending; ++i) {
        request.send(piece);
    }
    QTimer::singleShot(1, &this->timers, [this, request, piece] { this->pour(request, piece); });
}

void SoakStore::reply(const FakeRequest &request, const std::string &body)
{
    if (this->mood == StoreMood::Silent) {
        return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (this->mood == StoreMood::Losing && chance(this->random) < lostShare) {
        return;
    }
    const int delay = this->mood == StoreMood::Slow ? slowDelayMs : usualDelayMs;
    const std::string fields = StandInDialect::eraField(this->era);
    QTimer::singleShot(delay, &this->timers, [request, body, fields] { request.reply("200 OK", body, fields); });
}

std::string SoakStore::range(const FakeRequest &request, const StandInDialect::StoreCall &call) const
{
    std::vector<StandInDialect::StoreItem> page;
    bool hasMore = false;
    for (auto item = this->items.lower_bound(call.prefix); item != this->items.end(); ++item) {
        if (item->first.compare(0, call.prefix.size(), call.prefix) != 0) {
            break;
        }
        if (item->first <= call.afterKey) {
            continue;
        }
        if (page.size() == pageItems) {
            hasMore = true;
            break;
        }
        page.push_back(item->second);
    }
    return StandInDialect::rangeAnswer(this->seenBy(request, std::move(page)), this->revision, hasMore);
}

std::string SoakStore::faultyPage() const
{
    const bool isEndless = this->listFault == ListFault::Endless;
    // Each page of an endless list follows the one before, its last key being the number of the page.
    const std::string prefix
        = StandInDialect::targetKey(TargetId{isEndless ? std::to_string(this->listCallCount) : "a"});
    std::vector<StandInDialect::StoreItem> page;
    for (std::size_t i = 0; i < pageItems; ++i) {
        page.push_back({prefix + "-" + std::to_string(i), "{}", this->revision, false});
    }
    std::string text = StandInDialect::rangeAnswer(page, this->revision, true);
    if (this->listFault == ListFault::Unkeyed) {
        for (std::size_t at = text.find("\"key\""); at != std::string::npos; at = text.find("\"key\"")) {
            text.replace(at, 5, "\"kez\"");
        }
    }
    return text;
}

std::vector<StandInDialect::StoreItem> SoakStore::eventsAfter(Revision after) const
{
    std::vector<StandInDialect::StoreItem> events;
    for (const StandInDialect::StoreItem &item : this->history) {
        if (item.changedAt > after) {
            events.push_back(item);
        }
    }
    return events;
}

void SoakStore::watch(const FakeRequest &request, const StandInDialect::StoreCall &call)
{
    if (call.after < this->forgotten || call.after > this->revision) {
        this->refuse(request, "410 Gone");
        return;
    }
    if (call.after < this->revision) {
        this->reply(request,
                    StandInDialect::watchAnswer(this->seenBy(request, this->eventsAfter(call.after)), this->revision));
        return;
    }
    const std::uint64_t number = this->nextWatch++;
    this->watches.emplace(number, Watch{request, call.after});
    QTimer::singleShot(static_cast<int>(call.wait.count), &this->timers, [this, number] {
        const auto found = this->watches.find(number);
        if (found != this->watches.end()) {
            const Watch held = std::move(found->second);
            this->watches.erase(found);
            this->reply(held.request, StandInDialect::watchAnswer({}, this->revision));
        }
    });
}

} // namespace Sequoiausher::Lab
