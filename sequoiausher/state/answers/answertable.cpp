#include "sequoiausher/state/answers/answertable.h"

#include "sequoiausher/state/lockorder.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sequoiausher {

namespace {

/** One answer. Readers share ownership, so they can still read the end of an answer that the table has dropped. */
struct Answer
{
    RequestId request;
    std::optional<ClaimKey> key;
    std::uint64_t bodyDigest = 0;
    AnswerState state = AnswerState::Running;
    bool replayable = true;
    /** A copy that is read from another router; see setCopy(). */
    bool copy = false;
    std::optional<AnswerHead> head;
    std::string body;
    std::string reason;
    Millis endedAt;
    std::size_t countedBytes = 0;
    /** The callbacks of the readers, by reader number. */
    std::unordered_map<std::uint64_t, AnswerTable::Wake> readers;
};

using AnswerPointer = std::shared_ptr<Answer>;
using Wakes = std::vector<AnswerTable::Wake>;

void callAll(const Wakes &wakes)
{
    for (const AnswerTable::Wake &wake : wakes) {
        wake();
    }
}

} // namespace

class AnswerTable::Private
{
public:
    explicit Private(const AnswerSettings &bounds) : settings(bounds)
    {
    }

    AnswerPointer lookUp(const RequestId &request) const
    {
        const auto found = this->answers.find(request);
        return found == this->answers.end() ? nullptr : found->second;
    }

    AnswerPointer lookUp(const ClaimKey &key) const
    {
        const auto found = this->byKey.find(key);
        return found == this->byKey.end() ? nullptr : this->lookUp(found->second);
    }

    static Wakes wakesOf(const Answer &answer)
    {
        Wakes wakes;
        for (const auto &reader : answer.readers) {
            if (reader.second) {
                wakes.push_back(reader.second);
            }
        }
        return wakes;
    }

    /** Updates the bytes that are accounted for the answer. */
    void recount(Answer &answer)
    {
        const std::size_t bytes = answerOverheadBytes + answer.body.capacity() + answer.reason.capacity();
        this->used += bytes;
        this->used -= answer.countedBytes;
        answer.countedBytes = bytes;
    }

    /** Drops the bytes of an answer but keeps its record, so that a retry still learns that the request ran here. */
    void stopReplay(Answer &answer)
    {
        answer.replayable = false;
        std::string().swap(answer.body);
        this->recount(answer);
    }

    /** Drops ended answers, oldest first, until the wanted bytes fit. @return false if they do not fit. */
    bool makeRoom(std::size_t wanted, Wakes &wakes)
    {
        while (this->used + wanted > this->settings.totalBytes && !this->ended.empty()) {
            this->drop(this->ended.begin()->second, wakes);
            this->ended.erase(this->ended.begin());
        }
        return this->used + wanted <= this->settings.totalBytes;
    }

    /** Removes an answer from the table. The caller removes it from `ended`. */
    void drop(const AnswerPointer &answer, Wakes &wakes)
    {
        this->freeKey(*answer);
        this->used -= answer->countedBytes;
        answer->countedBytes = 0;
        answer->replayable = false;
        std::string().swap(answer->body);
        const Wakes told = wakesOf(*answer);
        wakes.insert(wakes.end(), told.begin(), told.end());
        this->answers.erase(answer->request);
    }

    void freeKey(const Answer &answer)
    {
        if (!answer.key) {
            return;
        }
        const auto found = this->byKey.find(*answer.key);
        if (found != this->byKey.end() && found->second == answer.request) {
            this->byKey.erase(found);
        }
    }

    std::optional<AnswerCursor> follow(const AnswerPointer &answer, Wake wake)
    {
        if (!answer) {
            return std::nullopt;
        }
        const std::uint64_t reader = ++this->lastReader;
        answer->readers.emplace(reader, std::move(wake));
        this->readers.emplace(reader, answer);
        return AnswerCursor{reader, 0};
    }

    /** Whether a retry at another router may need the answer after this router has stopped. */
    static bool mayBeHandedOver(const Answer &answer)
    {
        return answer.state == AnswerState::Complete && answer.key && answer.head && answer.replayable && !answer.copy;
    }

    const AnswerSettings settings;
    mutable OrderedMutex mutex{LockRank::Answers};
    std::unordered_map<RequestId, AnswerPointer> answers;
    std::unordered_map<ClaimKey, RequestId> byKey;
    std::unordered_map<std::uint64_t, AnswerPointer> readers;
    /** Ended answers by the time of their end, oldest first. */
    std::multimap<Millis, AnswerPointer> ended;
    std::uint64_t lastReader = 0;
    std::size_t used = 0;
};

AnswerTable::AnswerTable(const AnswerSettings &settings) : d(std::make_unique<Private>(settings))
{
}

AnswerTable::~AnswerTable() = default;

StartResult AnswerTable::start([[maybe_unused]] Millis now,
                               const RequestId &request,
                               const std::optional<ClaimKey> &key,
                               std::uint64_t bodyDigest)
{
    Wakes wakes;
    {
        const std::scoped_lock lock(this->d->mutex);
        if (this->d->lookUp(request)) {
            throw std::invalid_argument("request " + request.toHex() + " was started before");
        }
        const AnswerPointer first = key ? this->d->lookUp(*key) : nullptr;
        if (first) {
            const bool same = first->bodyDigest == bodyDigest;
            return {same ? StartVerdict::Joined : StartVerdict::BodyDiffers, first->request};
        }
        auto answer = std::make_shared<Answer>();
        answer->request = request;
        answer->key = key;
        answer->bodyDigest = bodyDigest;
        answer->replayable = this->d->makeRoom(answerOverheadBytes, wakes);
        this->d->recount(*answer);
        this->d->answers.emplace(request, answer);
        if (key) {
            this->d->byKey.emplace(*key, request);
        }
    }
    callAll(wakes);
    return {StartVerdict::Started, request};
}

void AnswerTable::setHead(const RequestId &request, const AnswerHead &head)
{
    Wakes wakes;
    {
        const std::scoped_lock lock(this->d->mutex);
        const AnswerPointer answer = this->d->lookUp(request);
        if (!answer || answer->state != AnswerState::Running) {
            return;
        }
        answer->head = head;
        wakes = Private::wakesOf(*answer);
    }
    callAll(wakes);
}

bool AnswerTable::append(const RequestId &request, std::string_view bytes)
{
    Wakes wakes;
    bool kept = false;
    {
        const std::scoped_lock lock(this->d->mutex);
        const AnswerPointer answer = this->d->lookUp(request);
        if (!answer || answer->state != AnswerState::Running || !answer->replayable) {
            return false;
        }
        const std::size_t size = answer->body.size() + bytes.size();
        std::size_t capacity = answer->body.capacity();
        if (size > capacity) {
            // The capacity is doubled, so that a long stream of small chunks is not copied with each chunk.
            capacity = std::min(std::max(size, capacity * 2), std::max(size, this->d->settings.bytesPerAnswer));
        }
        kept = size <= this->d->settings.bytesPerAnswer && this->d->makeRoom(capacity - answer->body.capacity(), wakes);
        if (kept) {
            answer->body.reserve(capacity);
            answer->body.append(bytes);
            this->d->recount(*answer);
        } else {
            this->d->stopReplay(*answer);
        }
        const Wakes readers = Private::wakesOf(*answer);
        wakes.insert(wakes.end(), readers.begin(), readers.end());
    }
    callAll(wakes);
    return kept;
}

void AnswerTable::finish(Millis now, const RequestId &request, AnswerState state, const std::string &reason)
{
    Wakes wakes;
    {
        const std::scoped_lock lock(this->d->mutex);
        const AnswerPointer answer = this->d->lookUp(request);
        if (!answer || answer->state != AnswerState::Running) {
            return;
        }
        answer->state = state;
        answer->reason = reason;
        answer->endedAt = now;
        answer->body.shrink_to_fit();
        this->d->recount(*answer);
        if (state == AnswerState::NotRun) {
            this->d->drop(answer, wakes);
        } else {
            this->d->ended.emplace(now, answer);
            wakes = Private::wakesOf(*answer);
        }
    }
    callAll(wakes);
}

std::optional<RequestId> AnswerTable::find(const ClaimKey &key) const
{
    const std::scoped_lock lock(this->d->mutex);
    const AnswerPointer answer = this->d->lookUp(key);
    return answer ? std::optional(answer->request) : std::nullopt;
}

std::optional<AnswerCursor> AnswerTable::attach(const RequestId &request, Wake wake)
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->follow(this->d->lookUp(request), std::move(wake));
}

std::optional<AnswerCursor> AnswerTable::attach(const ClaimKey &key, Wake wake)
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->follow(this->d->lookUp(key), std::move(wake));
}

AnswerPart AnswerTable::read(AnswerCursor &cursor, std::size_t maxBytes)
{
    const std::scoped_lock lock(this->d->mutex);
    AnswerPart part;
    part.offset = cursor.offset;
    const auto found = this->d->readers.find(cursor.reader);
    if (found == this->d->readers.end()) {
        return part;
    }
    const Answer &answer = *found->second;
    part.head = answer.head;
    if (answer.state == AnswerState::NotRun) {
        part.state = AnswerState::NotRun;
        return part;
    }
    if (!answer.replayable || cursor.offset > answer.body.size()) {
        return part;
    }
    part.bytes = answer.body.substr(cursor.offset, maxBytes);
    cursor.offset += part.bytes.size();
    const bool atEnd = cursor.offset == answer.body.size();
    part.state = atEnd ? answer.state : AnswerState::Running;
    part.reason = atEnd ? answer.reason : std::string();
    return part;
}

void AnswerTable::detach(const AnswerCursor &cursor)
{
    const std::scoped_lock lock(this->d->mutex);
    const auto found = this->d->readers.find(cursor.reader);
    if (found == this->d->readers.end()) {
        return;
    }
    found->second->readers.erase(cursor.reader);
    this->d->readers.erase(found);
}

void AnswerTable::setCopy(const RequestId &request)
{
    const std::scoped_lock lock(this->d->mutex);
    if (const AnswerPointer answer = this->d->lookUp(request)) {
        answer->copy = true;
    }
}

std::vector<KeptAnswer> AnswerTable::kept(Millis now) const
{
    std::vector<KeptAnswer> all;
    const std::scoped_lock lock(this->d->mutex);
    for (auto each = this->d->ended.rbegin(); each != this->d->ended.rend(); ++each) {
        const Answer &answer = *each->second;
        if (Private::mayBeHandedOver(answer)) {
            all.push_back(describe(answer.request, *answer.key, answer.bodyDigest, *answer.head, answer.body));
            all.back().age = now - answer.endedAt;
        }
    }
    return all;
}

std::string AnswerTable::bytesOf(const RequestId &request, std::uint64_t offset, std::size_t maxBytes) const
{
    const std::scoped_lock lock(this->d->mutex);
    const AnswerPointer answer = this->d->lookUp(request);
    const bool has = answer && Private::mayBeHandedOver(*answer) && offset < answer->body.size();
    return has ? answer->body.substr(offset, maxBytes) : std::string();
}

bool AnswerTable::keep(Millis now, const KeptAnswer &kept, std::string body)
{
    const bool inTime = kept.age >= Millis{0} && kept.age < this->d->settings.keepFor;
    if (!inTime || body.size() > this->d->settings.bytesPerAnswer || !isWhole(kept, body)) {
        return false;
    }
    auto answer = std::make_shared<Answer>();
    answer->request = kept.attempt;
    answer->key = kept.key;
    answer->bodyDigest = kept.bodyDigest;
    answer->state = AnswerState::Complete;
    answer->head = kept.head;
    answer->body = std::move(body);
    answer->endedAt = now - kept.age;
    Wakes wakes;
    bool hasRoom = false;
    {
        const std::scoped_lock lock(this->d->mutex);
        if (this->d->lookUp(kept.attempt)) {
            return true;
        }
        this->d->recount(*answer);
        this->d->answers.emplace(kept.attempt, answer);
        this->d->byKey.emplace(kept.key, kept.attempt);
        this->d->ended.emplace(answer->endedAt, answer);
        // If it is the oldest one itself, it is the first to be dropped.
        this->d->makeRoom(0, wakes);
        hasRoom = this->d->lookUp(kept.attempt) != nullptr;
    }
    callAll(wakes);
    return hasRoom;
}

void AnswerTable::tick(Millis now)
{
    Wakes wakes;
    {
        const std::scoped_lock lock(this->d->mutex);
        auto &ended = this->d->ended;
        while (!ended.empty() && now - ended.begin()->first >= this->d->settings.keepFor) {
            this->d->drop(ended.begin()->second, wakes);
            ended.erase(ended.begin());
        }
    }
    callAll(wakes);
}

Millis AnswerTable::nextDeadline() const
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->ended.empty() ? Millis::never() : this->d->ended.begin()->first + this->d->settings.keepFor;
}

std::size_t AnswerTable::usedBytes() const
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->used;
}

std::size_t AnswerTable::count() const
{
    const std::scoped_lock lock(this->d->mutex);
    return this->d->answers.size();
}

} // namespace Sequoiausher
