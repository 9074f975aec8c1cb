#include "sequoiausher/coordination/answers/answertaker.h"

#include <algorithm>
#include <compare>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

/** One answer in one hand-over. */
struct PartialId
{
    InstanceId from;
    std::uint64_t handover = 0;
    RequestId attempt;

    auto operator<=>(const PartialId &) const = default;
};

/** What has come of it. */
struct Partial
{
    KeptAnswer answer;
    std::string body;
    /** Whole or dropped: what still comes is known already. */
    bool settled = false;
    Millis heardAt;
};

bool isSameAnswer(KeptAnswer one, const KeptAnswer &other)
{
    one.age = other.age;
    return one == other;
}

bool isWholeByItself(const AnswerFragment &fragment)
{
    return fragment.offset == 0 && fragment.bytes.size() == fragment.answer.length;
}

} // namespace

class AnswerTaker::Private
{
public:
    explicit Private(const TakerSettings &bounds) : settings(bounds)
    {
    }

    void finish(const KeptAnswer &answer, std::string body)
    {
        if (isWhole(answer, body)) {
            this->whole.push_back(TakenAnswer{answer, std::move(body)});
        } else {
            ++this->dropped;
        }
    }

    void settle(Partial &partial)
    {
        partial.settled = true;
        this->reserved -= partial.answer.length;
        std::string().swap(partial.body);
    }

    void drop(Partial &partial)
    {
        ++this->dropped;
        this->settle(partial);
    }

    /** The answer of the fragment, begun where this is its first part. */
    Partial &partialOf(const PartialId &id, const AnswerFragment &fragment)
    {
        const auto [found, fresh] = this->partials.try_emplace(id);
        Partial &partial = found->second;
        if (fresh) {
            partial.answer = fragment.answer;
            this->reserved += fragment.answer.length;
            if (this->reserved > this->settings.bytesUnderWay) {
                this->drop(partial);
            }
        }
        return partial;
    }

    /** Whether the fragment need not come again. */
    bool take(Millis now, const InstanceId &from, std::uint64_t handover, const AnswerFragment &fragment)
    {
        if (fragment.answer.length > this->settings.bytesPerAnswer) {
            this->dropped += fragment.offset == 0 ? 1 : 0;
            return true;
        }
        if (isWholeByItself(fragment)) {
            this->finish(fragment.answer, fragment.bytes);
            return true;
        }
        const PartialId id{from, handover, fragment.answer.attempt};
        if (fragment.offset > 0 && !this->partials.contains(id)) {
            return false;
        }
        Partial &partial = this->partialOf(id, fragment);
        partial.heardAt = now;
        return partial.settled || this->join(partial, fragment);
    }

    bool join(Partial &partial, const AnswerFragment &fragment)
    {
        if (!isSameAnswer(partial.answer, fragment.answer)) {
            this->drop(partial);
            return true;
        }
        if (fragment.offset > partial.body.size()) {
            return false;
        }
        const std::size_t known = std::min<std::size_t>(fragment.bytes.size(), partial.body.size() - fragment.offset);
        partial.body.append(fragment.bytes, known);
        if (partial.body.size() >= partial.answer.length) {
            KeptAnswer answer = partial.answer;
            answer.age = fragment.answer.age;
            this->finish(answer, std::move(partial.body));
            this->settle(partial);
        }
        return true;
    }

    TakerSettings settings;
    std::map<PartialId, Partial> partials;
    std::uint64_t reserved = 0;
    std::vector<TakenAnswer> whole;
    std::uint64_t dropped = 0;
};

AnswerTaker::AnswerTaker(const TakerSettings &settings) : d(std::make_unique<Private>(settings))
{
}

AnswerTaker::~AnswerTaker() = default;

void AnswerTaker::receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox)
{
    bool taken = true;
    for (const AnswerFragment &fragment : page.fragments) {
        taken = this->d->take(now, from, page.handover, fragment) && taken;
    }
    if (taken) {
        outbox.push_back(Outgoing{from, AnswerPageAck{page.handover, page.sequence}});
    }
}

void AnswerTaker::tick(Millis now)
{
    for (auto each = this->d->partials.begin(); each != this->d->partials.end();) {
        Partial &partial = each->second;
        if (now < partial.heardAt + this->d->settings.patience) {
            ++each;
            continue;
        }
        if (!partial.settled) {
            this->d->drop(partial);
        }
        each = this->d->partials.erase(each);
    }
}

std::vector<TakenAnswer> AnswerTaker::takeWhole()
{
    return std::exchange(this->d->whole, {});
}

std::uint64_t AnswerTaker::dropped() const
{
    return this->d->dropped;
}

std::uint64_t AnswerTaker::bytesUnderWay() const
{
    return this->d->reserved;
}

} // namespace Sequoiausher
