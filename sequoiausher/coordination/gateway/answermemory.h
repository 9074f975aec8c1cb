#pragma once

// When something was last answered whole, for as many things as the memory has room for. The least recently answered
// ones are forgotten first.
//
//     AnswerMemory<RequestFingerprint> answers({Millis{60000}, 8192});
//     answers.record(fingerprint, {now});
//     if (const std::optional<ObservationTime> answered = answers.lastAnswer(fingerprint, now)) { ... }

#include "sequoiausher/base/millis.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace Sequoiausher {

/** The time of an observation. */
struct ObservationTime
{
    Millis at;
    /** Orders observations of this gateway within one millisecond; 0 for those of its peers. */
    std::uint64_t number = 0;

    auto operator<=>(const ObservationTime &) const = default;
};

/** Bounds of an AnswerMemory. */
struct AnswerMemoryLimits
{
    /** How long an answer is remembered. */
    Millis ttl;
    std::size_t maxEntries = 0;
};

/** See above. Key has an order. Not thread-safe. */
template<typename Key>
class AnswerMemory
{
public:
    explicit AnswerMemory(const AnswerMemoryLimits &bounds) : limits(bounds)
    {
    }

    /** Records a whole answer. The time must not be before that of an earlier record. */
    void record(const Key &key, const ObservationTime &answered)
    {
        const auto [entry, isNew] = this->answers.try_emplace(key, answered);
        entry->second = answered;
        if (isNew) {
            this->order.emplace_back(answered, key);
        }
        this->forgetOldest(answered.at);
    }
    /** Returns when the last answer was recorded; none where it is too old, or was never recorded. */
    std::optional<ObservationTime> lastAnswer(const Key &key, Millis now) const
    {
        const auto found = this->answers.find(key);
        const bool isRemembered = found != this->answers.end() && now - found->second.at <= this->limits.ttl;
        return isRemembered ? std::optional(found->second) : std::nullopt;
    }
    std::size_t size() const
    {
        return this->answers.size();
    }

private:
    void forgetOldest(Millis now)
    {
        // Each key stands once in the order. One that was answered since it was put there goes to the end again, so a
        // key that is answered often costs no more than others.
        const auto mayForget = [this, now](const std::pair<ObservationTime, Key> &oldest) {
            return this->answers.size() > this->limits.maxEntries || now - oldest.first.at > this->limits.ttl;
        };
        while (!this->order.empty() && mayForget(this->order.front())) {
            const auto [answered, key] = this->order.front();
            this->order.pop_front();
            const auto found = this->answers.find(key);
            if (found->second > answered) {
                this->order.emplace_back(found->second, key);
            } else {
                this->answers.erase(found);
            }
        }
    }

    AnswerMemoryLimits limits;
    std::map<Key, ObservationTime> answers;
    /** The keys with the time at which they were put here. */
    std::deque<std::pair<ObservationTime, Key>> order;
};

} // namespace Sequoiausher
