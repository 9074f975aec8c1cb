#include "sequoiausher/coordination/answers/answerreceiver.h"

#include <algorithm>
#include <compare>
#include <map>
#include <utility>

namespace Sequoiausher {

namespace {

/** Identifies an answer in one hand-over. */
struct PartialAnswerId
{
    InstanceId from;
    std::uint64_t handover = 0;
    RequestId attempt;

    auto operator<=>(const PartialAnswerId &) const = default;
};

/** The fragments of an answer received so far. */
struct PartialAnswer
{
    KeptAnswer answer;
    std::string body;
    /** Complete or dropped: further fragments are ignored. */
    bool closed = false;
    Millis lastFragmentAt;
};

bool isSameAnswer(KeptAnswer one, const KeptAnswer &other)
{
    one.age = other.age;
    return one == other;
}

bool containsCompleteBody(const AnswerFragment &fragment)
{
    return fragment.offset == 0 && fragment.bytes.size() == fragment.answer.length;
}

} // namespace

class AnswerReceiver::Private
{
public:
    explicit Private(const AnswerReceiverSettings &bounds) : settings(bounds)
    {
    }

    void finishAnswer(const KeptAnswer &answer, std::string body)
    {
        if (isWhole(answer, body)) {
            this->completeAnswers.push_back(ReceivedAnswer{answer, std::move(body)});
        } else {
            ++this->dropped;
        }
    }

    void close(PartialAnswer &partial)
    {
        partial.closed = true;
        this->reserved -= partial.answer.length;
        std::string().swap(partial.body);
    }

    void drop(PartialAnswer &partial)
    {
        ++this->dropped;
        this->close(partial);
    }

    /** Returns the partial answer of the fragment; creates it for the first fragment. */
    PartialAnswer &findOrCreatePartial(const PartialAnswerId &id, const AnswerFragment &fragment)
    {
        const auto [found, inserted] = this->partials.try_emplace(id);
        PartialAnswer &partial = found->second;
        if (inserted) {
            partial.answer = fragment.answer;
            this->reserved += fragment.answer.length;
            if (this->reserved > this->settings.maxIncompleteBytes) {
                this->drop(partial);
            }
        }
        return partial;
    }

    /** @return whether the fragment need not be sent again. */
    bool receiveFragment(Millis now, const InstanceId &from, std::uint64_t handover, const AnswerFragment &fragment)
    {
        if (fragment.answer.length > this->settings.bytesPerAnswer) {
            this->dropped += fragment.offset == 0 ? 1 : 0;
            return true;
        }
        if (containsCompleteBody(fragment)) {
            this->finishAnswer(fragment.answer, fragment.bytes);
            return true;
        }
        const PartialAnswerId id{from, handover, fragment.answer.attempt};
        if (fragment.offset > 0 && !this->partials.contains(id)) {
            return false;
        }
        PartialAnswer &partial = this->findOrCreatePartial(id, fragment);
        partial.lastFragmentAt = now;
        return partial.closed || this->appendFragment(partial, fragment);
    }

    bool appendFragment(PartialAnswer &partial, const AnswerFragment &fragment)
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
            this->finishAnswer(answer, std::move(partial.body));
            this->close(partial);
        }
        return true;
    }

    AnswerReceiverSettings settings;
    std::map<PartialAnswerId, PartialAnswer> partials;
    std::uint64_t reserved = 0;
    std::vector<ReceivedAnswer> completeAnswers;
    std::uint64_t dropped = 0;
};

AnswerReceiver::AnswerReceiver(const AnswerReceiverSettings &settings) : d(std::make_unique<Private>(settings))
{
}

AnswerReceiver::~AnswerReceiver() = default;

void AnswerReceiver::receive(Millis now, const InstanceId &from, const AnswerPage &page, Outbox &outbox)
{
    bool allTaken = true;
    for (const AnswerFragment &fragment : page.fragments) {
        allTaken = this->d->receiveFragment(now, from, page.handover, fragment) && allTaken;
    }
    if (allTaken) {
        outbox.push_back(Outgoing{from, AnswerPageAck{page.handover, page.sequence}});
    }
}

void AnswerReceiver::tick(Millis now)
{
    for (auto each = this->d->partials.begin(); each != this->d->partials.end();) {
        PartialAnswer &partial = each->second;
        if (now < partial.lastFragmentAt + this->d->settings.idleTimeout) {
            ++each;
            continue;
        }
        if (!partial.closed) {
            this->d->drop(partial);
        }
        each = this->d->partials.erase(each);
    }
}

std::vector<ReceivedAnswer> AnswerReceiver::takeCompleteAnswers()
{
    return std::exchange(this->d->completeAnswers, {});
}

std::uint64_t AnswerReceiver::dropped() const
{
    return this->d->dropped;
}

std::uint64_t AnswerReceiver::incompleteBytes() const
{
    return this->d->reserved;
}

} // namespace Sequoiausher
