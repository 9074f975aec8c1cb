#pragma once

// Accounts for what each connection of a client makes this process hold, and names the connection that yields when
// there is no room: the one that costs most and moves least. Uses no sockets and no clock.
//
// A descriptor costs the same on every connection, so by descriptors a connection yields the sooner the less of a
// request there is on it, and among equals the one that has not moved for the longest time. A new connection, whose
// request may still be on its way, outlasts those that have stood still. One with a request in progress never yields.
// By memory a connection yields the sooner the longer its caller would need for what it holds, at the rate at which it
// has taken bytes. So a caller that reads slowly outlasts one that reads nothing.
//
//     ConnectionLedger ledger;
//     ledger.add(number, now);
//     ledger.setUse(number, ConnectionUse::Head, now);
//     ledger.setHeld(number, {unsentBytes, headBytes}, takenBytes, now);
//     if (const auto yields = ledger.yieldsDescriptor(now)) { close(*yields); }
//     for (const auto number : ledger.yieldMemory(overrun, now)) { close(number); }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sequoiausher {

/** What a connection is used for, in the order in which connections that stand still give up their descriptors. */
enum class ConnectionUse {
    /** Closed by this side, and its caller has taken all bytes, but has not closed it. */
    Closing,
    /** Nothing has arrived on it yet. */
    Silent,
    /** A part of a request's head has arrived. */
    Head,
    /** Its caller takes nothing of what was written, or sends nothing of the body that it began. */
    Stalled,
    /** The head of a request and a part of its body have arrived. */
    Body,
    /** Kept open after an answer. */
    Kept,
    /** Its caller takes the last answer. */
    Unread,
    /** A request is in progress. */
    InUse,
};

template<>
inline constexpr auto nameTable<ConnectionUse> = std::to_array<NameEntry<ConnectionUse>>({
    {ConnectionUse::Closing, "closing"},
    {ConnectionUse::Silent, "silent"},
    {ConnectionUse::Head, "head"},
    {ConnectionUse::Stalled, "stalled"},
    {ConnectionUse::Body, "body"},
    {ConnectionUse::Kept, "kept"},
    {ConnectionUse::Unread, "unread"},
    {ConnectionUse::InUse, "in-use"},
});

/** The bytes that this process and its kernel hold for a connection. */
struct HeldBytes
{
    /** Of answers that its caller has not taken. */
    std::size_t unread = 0;
    /** Of requests that have not ended. */
    std::size_t heads = 0;

    std::size_t total() const
    {
        return this->unread + this->heads;
    }
};

/** What is known of one connection. */
struct ConnectionAccount
{
    ConnectionUse use = ConnectionUse::Silent;
    /** When this use of it began. */
    Millis usedSince;
    HeldBytes held;
    /** For how long the connection has held any; recent time counts more. */
    Millis heldFor;
    /** The bytes that its caller took in heldFor. */
    std::size_t takenBytes = 0;
    /** When its caller last took any, or had none to take. */
    Millis tookAt;
    Millis updatedAt;
};

/** See above. Not thread-safe. */
class ConnectionLedger
{
public:
    /** Identifies a connection. */
    using Number = std::uint64_t;

    void add(Number number, Millis now);
    void remove(Number number);
    /** A change to the same use is no movement: a request that arrives byte by byte stays as old as its first byte. */
    void setUse(Number number, ConnectionUse use, Millis now);
    /** @param taken the bytes that the caller has taken since the last call. */
    void setHeld(Number number, const HeldBytes &held, std::size_t taken, Millis now);
    /** Whether the caller has not taken any of its answer for stalledTime. */
    bool hasStalled(Number number, Millis now) const;
    /** Longer than a segment that was lost takes to be sent again. */
    static constexpr Millis stalledTime{1000};

    std::size_t size() const;
    /** Returns what is known of a connection; none for one that was not added. */
    std::optional<ConnectionAccount> account(Number number) const;
    /** Returns the connection that gives up its descriptor; none if all are in use. */
    std::optional<Number> yieldsDescriptor(Millis now) const;
    /**
     * Returns the connections that give up what they hold, so that at least bytes are free, or all that may. One
     * whose request is in progress does not as long as its caller has nothing to take.
     */
    std::vector<Number> yieldMemory(std::size_t bytes, Millis now) const;

private:
    using Rank = std::pair<ConnectionUse, Millis>;
    using Place = std::pair<Rank, Number>;

    /** Returns the connection that has had this use for longest. */
    std::optional<Place> oldestOf(ConnectionUse use) const;

    std::unordered_map<Number, ConnectionAccount> accounts;
    /** The connections by use, and those of one use by age. */
    std::set<Place> order;
};

} // namespace Sequoiausher
