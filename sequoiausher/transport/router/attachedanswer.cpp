#include "sequoiausher/transport/router/attachedanswer.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The interval of requests to a holder that has nothing to send yet. */
constexpr Millis askEvery{1000};
/** Longer than two intervals, so that the loss of one message has no effect. */
constexpr Millis longestSilence{2500};

} // namespace

void AttachedAnswer::begin(Millis now, const InstanceId &holder, const RequestId &attempt)
{
    this->heldBy = attempt;
    this->offset = 0;
    this->redirect(now, holder);
}

void AttachedAnswer::redirect(Millis now, const InstanceId &holder)
{
    this->from = holder;
    this->heard(now);
}

void AttachedAnswer::end()
{
    this->from = InstanceId{};
    this->askAt = Millis::never();
}

bool AttachedAnswer::isFollowing() const
{
    return !this->from.empty();
}

const InstanceId &AttachedAnswer::holder() const
{
    return this->from;
}

const RequestId &AttachedAnswer::attempt() const
{
    return this->heldBy;
}

void AttachedAnswer::heard(Millis now)
{
    this->heardAt = now;
    this->askAt = now + askEvery;
}

std::optional<std::string_view> AttachedAnswer::take(Millis now, const AttachChunk &chunk)
{
    if (chunk.offset > this->offset) {
        this->askAt = std::min(this->askAt, now);
        return std::nullopt;
    }
    this->heard(now);
    std::string_view fresh = chunk.bytes;
    fresh.remove_prefix(std::min<std::size_t>(fresh.size(), this->offset - chunk.offset));
    this->offset += fresh.size();
    return fresh;
}

bool AttachedAnswer::isWhole(Millis now, const AttachEnd &end)
{
    if (end.length == this->offset) {
        return true;
    }
    this->askAt = std::min(this->askAt, now);
    return false;
}

AttachStep AttachedAnswer::tick(Millis now)
{
    if (!this->isFollowing()) {
        return AttachStep::Nothing;
    }
    if (now >= this->heardAt + longestSilence) {
        return AttachStep::GiveUp;
    }
    if (now < this->askAt) {
        return AttachStep::Nothing;
    }
    this->askAt = now + askEvery;
    return AttachStep::AskAgain;
}

} // namespace Sequoiausher
