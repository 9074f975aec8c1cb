#pragma once

// The order in which the locks of all shared tables and of the node that uses them are taken, and a mutex that checks
// it.
//
//     OrderedMutex mutex(LockRank::Answers);
//     const std::scoped_lock lock(mutex);      // throws if the thread holds Metrics or Answers
//
// A thread takes locks only in ascending LockRank, and at most one lock of each rank. Then no deadlock is possible. A
// test may not notice a wrong order, because a deadlock needs two threads at the right moment; the check fails in the
// first run of either thread.
//
// The log and each metrics series in base/ have leaf locks: no other lock is taken while one of them is held, so they
// may be taken under any lock.

#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>

namespace Sequoiausher {

/** In the order in which locks are taken. */
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
/** One bit for each rank of which this thread holds a lock. */
inline thread_local std::uint32_t heldRanks = 0;
} // namespace Internal

/** A mutex with a rank in the order; meets the requirements of Lockable. */
class OrderedMutex
{
public:
    explicit OrderedMutex(LockRank rank) : place(rank)
    {
    }

    /** @throws std::logic_error if the thread holds a lock of this rank or a later one; nothing is locked then. */
    void lock()
    {
        this->check();
        this->mutex.lock();
        Internal::heldRanks |= this->bit();
    }
    /** As lock(), but returns false if another thread holds the lock. */
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
