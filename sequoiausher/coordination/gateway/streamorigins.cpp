#include "sequoiausher/coordination/gateway/streamorigins.h"

#include "sequoiausher/base/hashing.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** The key by whose rendezvous order the keepers of a large fleet are chosen. */
constexpr std::uint64_t keeperKey = 0x6b656570657273;

/** An older list is not told to others as one that shows a single version. */
constexpr Millis maxSharedProofAge{2000};

struct StreamKeyHash
{
    std::size_t operator()(const StreamKey &key) const
    {
        return static_cast<std::size_t>(key.caller ^ key.attempt);
    }
};

std::uint64_t orderKeyOf(const StreamKey &key)
{
    return key.caller ^ key.attempt;
}

} // namespace

StreamKey streamKeyOf(const OrganisationId &caller, const std::string &attemptId)
{
    return {hash64(caller.value), hash64(attemptId)};
}

class StreamOrigins::Private
{
public:
    struct Kept
    {
        StreamOrigin origin;
        Millis expiresAt;
        /** Different origins were told for one key, so neither can be relied on. */
        bool isAmbiguous = false;
    };
    struct Question
    {
        OriginQuestion asked;
        Found found;
        std::set<InstanceId> open;
        Millis at;
        /** Versions that the lists of others have shown. */
        std::set<std::string> versions;
        /** Another gateway has seen several versions, or there are several records. */
        bool hasSeveral = false;
        /** Up to when the lists of others prove that there was one version; 0 for not at all. */
        Millis provenUpTo;
    };

    Private(PeerDirectory &directory, const StreamOriginSettings &with) : peers(directory), settings(with)
    {
    }

    /** The others, the first of the stream's order first. */
    std::vector<InstanceId> others(const StreamKey &key, std::size_t count, Millis now) const;
    /** The others that are told where a stream began: of those that may be asked, the ones that go on first. */
    std::vector<InstanceId> keepersFor(const StreamKey &key, Millis now) const;
    void keep(const StreamKey &key, const StreamOrigin &origin, Millis ttl, Millis now);
    void drop(std::unordered_map<StreamKey, Kept, StreamKeyHash>::iterator entry);
    OriginFinding findOwn(const OriginQuestion &question, Millis now) const;
    /** What is known by now: Unknown as long as a proof is missing. */
    OriginFinding conclude(const Question &question, Millis now) const;
    /** Whether lists show all versions since the first moment at which the stream may have begun. */
    bool isCovered(const Question &question) const;
    bool mayBeAnswered(const Question &question, Millis now) const;
    /** Whether a proof of the own list is all that is missing, and may still come in time. */
    bool mayBeProven(const Question &question, Millis now) const;
    void ask(Question question, Millis now);
    /** Ends the questions about a stream that are over. */
    void finishOver(const StreamKey &key, Millis now);
    void
    finish(std::map<StreamKey, std::vector<Question>>::iterator entry, std::size_t index, const OriginFinding &finding);

    PeerDirectory &peers;
    StreamOriginSettings settings;
    VersionHistory history;
    std::unordered_map<StreamKey, Kept, StreamKeyHash> origins;
    std::set<std::pair<Millis, StreamKey>> expiries;
    /** Several attempts may ask about one stream. */
    std::map<StreamKey, std::vector<Question>> questions;
    /**
     * When others were first asked about a stream. An answer names no question, so it counts as the answer to the first
     * one.
     */
    std::map<StreamKey, Millis> firstAskedAt;
    /** The same, the earliest first. */
    std::deque<std::pair<Millis, StreamKey>> askedKeys;
};

std::vector<InstanceId> StreamOrigins::Private::keepersFor(const StreamKey &key, Millis now) const
{
    // What a gateway that stops is told ends with it. Who is asked later is asked beyond the first few in any case.
    std::vector<InstanceId> chosen = this->others(key, this->settings.asked, now);
    std::stable_partition(chosen.begin(), chosen.end(), [this, now](const InstanceId &peer) {
        return !this->peers.isLeaving(peer, now);
    });
    chosen.resize(std::min(chosen.size(), this->settings.copies));
    return chosen;
}

std::vector<InstanceId> StreamOrigins::Private::others(const StreamKey &key, std::size_t count, Millis now) const
{
    std::vector<InstanceId> members;
    for (const GatewayMember &member : this->peers.members(now)) {
        members.push_back(member.instance);
    }
    if (members.size() > this->settings.keepers) {
        members = rendezvousTop(members, keeperKey, this->settings.keepers);
    }
    return rendezvousTop(members, orderKeyOf(key), count);
}

void StreamOrigins::Private::drop(std::unordered_map<StreamKey, Kept, StreamKeyHash>::iterator entry)
{
    this->expiries.erase({entry->second.expiresAt, entry->first});
    this->origins.erase(entry);
}

void StreamOrigins::Private::keep(const StreamKey &key, const StreamOrigin &origin, Millis ttl, Millis now)
{
    const Millis expiresAt = now + std::min(ttl, this->settings.maxTtl);
    const auto [entry, isNew] = this->origins.try_emplace(key, Kept{origin, expiresAt});
    if (!isNew) {
        entry->second.isAmbiguous = entry->second.isAmbiguous || entry->second.origin != origin;
        return;
    }
    this->expiries.emplace(expiresAt, key);
    if (this->origins.size() > this->settings.maxOrigins) {
        this->drop(this->origins.find(this->expiries.begin()->second));
    }
}

OriginFinding StreamOrigins::Private::findOwn(const OriginQuestion &question, Millis now) const
{
    const auto kept = this->origins.find(question.key);
    if (kept != this->origins.end() && now < kept->second.expiresAt) {
        const StreamOrigin &origin = kept->second.origin;
        if (kept->second.isAmbiguous) {
            return {OriginFindingKind::Several, origin.service, {}};
        }
        return {OriginFindingKind::Recorded, origin.service, origin.softwareVersion};
    }
    return this->history.findOnly(question.service, {now - question.span, now - maxSharedProofAge}, now);
}

OriginFinding StreamOrigins::Private::conclude(const Question &question, Millis now) const
{
    const PoolId &service = question.asked.service;
    const Millis from = question.at - question.asked.span;
    std::set<std::string> versions = this->history.versionsSince(service, from);
    versions.insert(question.versions.begin(), question.versions.end());
    OriginFinding finding;
    if (question.hasSeveral || versions.size() > 1) {
        finding = {OriginFindingKind::Several, service, {}};
    } else if (versions.size() == 1 && this->isCovered(question)
               && this->history.isProvenUpTo(service, question.at, now)) {
        finding = {OriginFindingKind::Only, service, *versions.begin()};
    }
    return finding;
}

bool StreamOrigins::Private::isCovered(const Question &question) const
{
    const std::string unnamed;
    if (question.versions.contains(unnamed) && this->history.hasNoNames(question.asked.service)) {
        return true;
    }
    // The list of a gateway that has just started shows what came after the time that another's list proves.
    return this->history.isProvenSince(question.asked.service, question.at - question.asked.span)
        || this->history.provenSince() <= question.provenUpTo;
}

bool StreamOrigins::Private::mayBeAnswered(const Question &question, Millis now) const
{
    return !question.open.empty() && now < question.at + this->settings.answerTimeout;
}

bool StreamOrigins::Private::mayBeProven(const Question &question, Millis now) const
{
    const Millis mostHeld = std::min(this->settings.proofTimeout, question.asked.mostHeld);
    return this->conclude(question, now).kind == OriginFindingKind::Unknown && this->isCovered(question)
        && !this->history.isProvenUpTo(question.asked.service, question.at, now) && now < question.at + mostHeld;
}

void StreamOrigins::Private::ask(Question question, Millis now)
{
    const StreamKey key = question.asked.key;
    this->questions[key].push_back(std::move(question));
    this->finishOver(key, now);
}

void StreamOrigins::Private::finishOver(const StreamKey &key, Millis now)
{
    auto entry = this->questions.find(key);
    for (std::size_t i = 0; entry != this->questions.end() && i < entry->second.size();) {
        if (this->mayBeAnswered(entry->second[i], now) || this->mayBeProven(entry->second[i], now)) {
            ++i;
            continue;
        }
        this->finish(entry, i, this->conclude(entry->second[i], now));
        entry = this->questions.find(key);
    }
}

void StreamOrigins::Private::finish(std::map<StreamKey, std::vector<Question>>::iterator entry,
                                    std::size_t index,
                                    const OriginFinding &finding)
{
    const Question question = std::move(entry->second[index]);
    entry->second.erase(entry->second.begin() + static_cast<std::ptrdiff_t>(index));
    if (entry->second.empty()) {
        this->questions.erase(entry);
    }
    question.found(finding);
}

StreamOrigins::StreamOrigins(PeerDirectory &peers, const StreamOriginSettings &settings)
    : d(std::make_unique<Private>(peers, settings))
{
}

StreamOrigins::~StreamOrigins() = default;

void StreamOrigins::setTargets(const std::vector<GatewayTarget> &targets, Millis now)
{
    this->d->history.setTargets(targets, now);
}

void StreamOrigins::recordWritten(const GatewayTarget &target, Millis now)
{
    this->d->history.recordWritten(target, now);
}

void StreamOrigins::recordProof(Millis at)
{
    this->d->history.recordProof(at);
}

void StreamOrigins::recordContact(Millis now)
{
    this->d->history.recordContact(now);
}

void StreamOrigins::recordRestore(Millis now)
{
    this->d->history.recordRestore(now);
}

Outbox StreamOrigins::record(const StreamKey &key, const StreamOrigin &origin, Millis ttl, Millis now)
{
    this->d->keep(key, origin, ttl, now);
    Outbox outbox;
    for (const InstanceId &other : this->d->keepersFor(key, now)) {
        GatewayStreamOrigin message;
        message.purpose = StreamOriginPurpose::Tell;
        message.key = key;
        message.finding = {OriginFindingKind::Recorded, origin.service, origin.softwareVersion};
        message.span = ttl;
        outbox.push_back({other, message});
    }
    return outbox;
}

Outbox StreamOrigins::find(const OriginQuestion &question, Millis now, Found found)
{
    const auto kept = this->d->origins.find(question.key);
    if (kept != this->d->origins.end() && now < kept->second.expiresAt) {
        found(this->d->findOwn(question, now));
        return {};
    }
    const bool asksAll = this->d->peers.members(now).size() < this->d->settings.askAllFleetSize;
    std::vector<InstanceId> others
        = this->d->others(question.key, asksAll ? this->d->settings.askAllFleetSize : this->d->settings.asked, now);
    if (!this->d->peers.knowsFleet(now)) {
        // A gateway that has just started may know too few others to find those that were told.
        for (const InstanceId &peer : this->d->peers.peers()) {
            if (others.size() < this->d->settings.askAllFleetSize
                && std::find(others.begin(), others.end(), peer) == others.end()) {
                others.push_back(peer);
            }
        }
    }
    Outbox outbox;
    for (const InstanceId &other : others) {
        GatewayStreamOrigin message;
        message.purpose = StreamOriginPurpose::Ask;
        message.key = question.key;
        message.finding.service = question.service;
        message.span = question.span;
        outbox.push_back({other, message});
    }
    if (!others.empty() && this->d->firstAskedAt.try_emplace(question.key, now).second) {
        this->d->askedKeys.emplace_back(now, question.key);
    }
    this->d->ask({question, std::move(found), std::set<InstanceId>(others.begin(), others.end()), now, {}, false, {}},
                 now);
    return outbox;
}

void StreamOrigins::findOnly(const OriginQuestion &question, Millis now, Found found)
{
    OriginQuestion unnamed = question;
    unnamed.key = {};
    this->d->ask({unnamed, std::move(found), {}, now, {}, false, {}}, now);
}

bool StreamOrigins::awaitsProof(Millis now) const
{
    return std::any_of(this->d->questions.begin(), this->d->questions.end(), [this, now](const auto &entry) {
        return std::any_of(entry.second.begin(), entry.second.end(), [this, now](const auto &question) {
            return !this->d->mayBeAnswered(question, now) && this->d->mayBeProven(question, now);
        });
    });
}

Outbox StreamOrigins::receive(const InstanceId &from, const GatewayStreamOrigin &message, Millis now)
{
    switch (message.purpose) {
    case StreamOriginPurpose::Tell:
        this->d->keep(message.key, {message.finding.service, message.finding.softwareVersion}, message.span, now);
        return {};
    case StreamOriginPurpose::Ask: {
        GatewayStreamOrigin answer;
        answer.purpose = StreamOriginPurpose::Answer;
        answer.key = message.key;
        answer.finding = this->d->findOwn({message.key, message.finding.service, message.span}, now);
        const Millis provenUpTo = this->d->history.provenUpTo();
        if (answer.finding.kind == OriginFindingKind::Only && provenUpTo != Millis{0}) {
            // One more than the age: gateways of the last release prove nothing, and say 0.
            answer.span = now - provenUpTo + Millis{1};
        }
        return {{from, answer}};
    }
    case StreamOriginPurpose::Answer:
        break;
    }
    const auto entry = this->d->questions.find(message.key);
    if (entry == this->d->questions.end()) {
        return {};
    }
    const OriginFinding &finding = message.finding;
    const auto firstAskedAt = this->d->firstAskedAt.find(message.key);
    for (std::size_t i = 0; i < entry->second.size(); ++i) {
        Private::Question &question = entry->second[i];
        if (question.open.erase(from) == 0) {
            continue;
        }
        if (finding.kind == OriginFindingKind::Several) {
            question.hasSeveral = true;
        } else if (finding.kind == OriginFindingKind::Only) {
            question.versions.insert(finding.softwareVersion);
            const bool isInTime = now < question.at + this->d->settings.proofTimeout;
            if (isInTime && message.span > Millis{0} && firstAskedAt != this->d->firstAskedAt.end()) {
                const Millis provenUpTo = firstAskedAt->second + Millis{1} - message.span;
                question.provenUpTo = std::max(question.provenUpTo, provenUpTo);
            }
        } else if (finding.kind == OriginFindingKind::Recorded) {
            this->d->finish(entry, i, finding);
            // Each of the questions about this stream is answered by its record.
            return this->receive(from, message, now);
        }
    }
    this->d->finishOver(message.key, now);
    return {};
}

void StreamOrigins::tick(Millis now)
{
    while (!this->d->expiries.empty() && this->d->expiries.begin()->first <= now) {
        this->d->drop(this->d->origins.find(this->d->expiries.begin()->second));
    }
    std::vector<StreamKey> asked;
    for (const auto &[key, questions] : this->d->questions) {
        asked.push_back(key);
    }
    for (const StreamKey &key : asked) {
        this->d->finishOver(key, now);
    }
    while (!this->d->askedKeys.empty() && now - this->d->askedKeys.front().first >= this->d->settings.maxTtl) {
        this->d->firstAskedAt.erase(this->d->askedKeys.front().second);
        this->d->askedKeys.pop_front();
    }
}

std::size_t StreamOrigins::size() const
{
    return this->d->origins.size();
}

} // namespace Sequoiausher
