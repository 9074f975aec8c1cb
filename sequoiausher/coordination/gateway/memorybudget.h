#pragma once

// Divides the memory of a gateway among what its requests hold: bodies, from their first byte until the request has
// ended, and answers that were not sent yet, with what is carried for other gateways.
//
// The whole of a body is reserved before it is read, since a body of which only a part fits helps nobody. A body that
// does not fit waits unread for a moment, in order, or is refused. Where too many wait, a random one of them is refused
// in place of the newest: a caller that was just served returns when memory is free, and would always find it, before
// one that was refused and returns at some other time. Small bodies do not wait, and have a part of the budget that
// large ones cannot take; while a large one waits, they have no more, so that it gets its turn. Answers cannot be
// refused: a part of the budget is theirs, and they may use what bodies leave. When that is used up, their targets are
// read only as fast as their callers take them. What connections hold beside them counts as answers: heads, requests
// that were sent ahead, and bytes that the kernel has not delivered. A quarter beyond the budget, connections are
// closed.
//
//     MemoryBudget budget(64U << 20U, seed);
//     BodyReservation body(budget);
//     switch (body.reserve(contentLength, now)) { case BodyAdmission::Waits: ... body.check(later) ... }
//     const std::size_t most = budget.unsentBound(usualBytes);    // buffered for one caller before its target waits

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace Sequoiausher {

/** Whether a body may be read. */
enum class BodyAdmission {
    Granted,
    /** Until others end; to be asked again. */
    Waits,
    /** There is no memory for it now. */
    Refused,
    /** It is larger than this gateway can ever hold. */
    TooLarge,
};

template<>
inline constexpr auto nameTable<BodyAdmission> = std::to_array<NameEntry<BodyAdmission>>({
    {BodyAdmission::Granted, "granted"},
    {BodyAdmission::Waits, "waits"},
    {BodyAdmission::Refused, "refused"},
    {BodyAdmission::TooLarge, "too-large"},
});

class BodyReservation;

/** See above. Not thread-safe. */
class MemoryBudget
{
public:
    /** @param limit in bytes; 0 for none. */
    MemoryBudget(std::size_t limit, std::uint64_t seed);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /** Applies to what is reserved from now on. */
    void setLimit(std::size_t bytes);
    std::size_t limit() const;
    /** The total into which answers and carried bytes are counted. */
    const std::shared_ptr<std::size_t> &answerTotal() const;
    /** Whether answers have used up their part, and what bodies leave. */
    bool isTightForAnswers() const;
    /** Returns by how many bytes answers exceed what they may hold at the most; then connections have to yield. */
    std::size_t overrun() const;
    /** Whether a request, or an answer to one, may hold so many bytes for its head. */
    bool hasRoomForHead(std::size_t bytes) const;
    /** Returns how many bytes of one answer may be held before it is passed on. @param usual while there is room. */
    std::size_t heldAnswerBound(std::size_t usual) const;
    /** Returns how many bytes may wait for one receiver before their source is read no more. */
    std::size_t unsentBound(std::size_t usual) const;

    std::size_t bodyBytes() const;
    std::size_t answerBytes() const;
    std::size_t waitingBodies() const;

    /** Bodies up to this size do not wait. */
    static constexpr std::size_t smallBodyBytes = 65536;
    /** A body that has waited for so long is refused. */
    static constexpr Millis maxWait{1000};

private:
    friend class BodyReservation;

    BodyAdmission admit(BodyReservation &body, std::size_t bytes, Millis now);
    BodyAdmission check(BodyReservation &body, Millis now);
    void release(BodyReservation &body);
    /** Grants what fits to those that wait, in their order. */
    void grantWaiting();
    bool fitsSmall(std::size_t additional) const;
    bool fitsLarge(const BodyReservation &body, std::size_t bytes) const;
    void grant(BodyReservation &body, std::size_t bytes);
    void stopWaiting(BodyReservation &body);
    /** Refuses random bodies that wait until one more may. @return false if that one was drawn. */
    bool makeWaitingRoom(std::size_t bytes);
    std::size_t answerPart() const;
    std::size_t smallPart() const;
    std::size_t largePart() const;
    /** Returns what answers may hold together with the bodies that there are. */
    std::size_t answerLimit() const;

    std::size_t most;
    std::mt19937_64 random;
    std::size_t smallBytes = 0;
    std::size_t largeBytes = 0;
    std::size_t waitingBytes = 0;
    /** In the order in which they came. */
    std::vector<BodyReservation *> waiting;
    std::shared_ptr<std::size_t> answers = std::make_shared<std::size_t>(0);
};

/** What one body has of the budget; gives it back when it is destroyed. */
class BodyReservation
{
public:
    /** The budget outlives this. */
    explicit BodyReservation(MemoryBudget &budget);
    ~BodyReservation();
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /** Asks for bytes in all, not in addition. */
    BodyAdmission reserve(std::size_t bytes, Millis now);
    /** Asks what became of the last reserve(). */
    BodyAdmission check(Millis now);
    std::size_t bytes() const;

private:
    friend class MemoryBudget;

    MemoryBudget &budget;
    std::size_t granted = 0;
    std::size_t wanted = 0;
    bool isWaiting = false;
    Millis waitsSince;
};

} // namespace Sequoiausher
