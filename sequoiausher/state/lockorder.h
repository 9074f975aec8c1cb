#pragma once

// The order in which locks are taken, over all shared tables and the node that uses them, and a mutex that checks it.
//
//     OrderedMutex mutex(LockRank::Answers);
//     const std::scoped_lock lock(mutex);      // a thread that holds Metrics or Answers throws here
//
// A thread takes locks only in the order of LockRank: it may skip ranks, never go back, and holds at most one lock of
// a rank. Two threads then cannot wait for each other in a circle. The wrong order need not show in any test, since a
// deadlock takes two threads at the right moment; the check shows it in the first run of either thread.
//
// The log and each metrics series have leaf locks of their own in base/, below everything here: they call nothing
// while they hold them, so they may be taken under any lock.

#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>

namespace Sequoiausher {

/** First taken first. */
enum class LockRank : std::uint8_t {
    Membership,
    Documents,
    Targets,
    Admission,
    Claims,
    Limits,
    Answers,
    Metrics,
};

template<>
inline constexpr auto nameTable<LockRank> = std::to_array<NameEntry<LockRank>>({
    {LockRank::Membership, "membership"},
    {LockRank::Documents, "documents"},
    {LockRank::Targets, "targets"},
    {LockRank::Admission, "admission"},
    {LockRank::Claims, "claims"},
    {LockRank::Limits, "limits"},
    {LockRank::Answers, "answers"},
    {LockRank::Metrics, "metrics"},
});

namespace Internal {
/** One bit for each rank that this thread holds. */
inline thread_local std::uint32_t heldRanks = 0;
} // namespace Internal

/** A mutex with a place in the order; meets the standard's Lockable. */
class OrderedMutex
{
public:
    explicit OrderedMutex(LockRank rank) : place(rank)
    {
    }

    /** @throws std::logic_error where the thread holds a lock of this rank or a later one; nothing is locked then. */
    void lock()
    {
        this->check();
        this->mutex.lock();
        Internal::heldRanks |= this->bit();
    }
    /** As lock(), but false where another thread holds it. */
    bool try_lock() // NOLINT(readability-identifier-naming): the standard's name
    {
        this->check();
        if (!this->mutex.try_lock()) {
            return false;
        }
        Internal::heldRanks |= this->bit();
        return true;
    }
    void unlock()
    {
        Internal::heldRanks &= ~this->bit();
        this->mutex.unlock();
    }

private:
    std::uint32_t bit() const
    {
        return std::uint32_t{1} << static_cast<unsigned>(this->place);
    }
    void check() const
    {
        if ((Internal::heldRanks >> static_cast<unsigned>(this->place)) != 0) {
            throw std::logic_error("lock order: " + std::string(nameOf(this->place)) + " after itself or a later lock");
        }
    }

    LockRank place;
    std::mutex mutex;
};

} // namespace Sequoiausher
