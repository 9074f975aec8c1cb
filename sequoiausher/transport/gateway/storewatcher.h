#pragma once

// Follows the platform's store: reads configuration and targets, watches both, reads again where a watch's history is
// gone, and reads the configuration at short intervals to prove that what is in force is the newest. A watch proves
// nothing about now: it may have heard nothing for a while. All revisions that it tells are positions of the store
// (storeposition.h): after a return from a copy all is read again, and answers of the era before are not believed.
//
//     StoreWatcher watcher(dialect, settings, log, listener);
//     // every 40 ms: watcher.tick(now, proofAge)

#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/watchdeadline.h"
#include "sequoiausher/protocol/gateway/gatewaydialect.h"

#include <cstdint>
#include <memory>

namespace Sequoiausher {

/** Why a call to the store was made. */
enum class StoreCallReason {
    /** The first reading of the configuration and of the targets. */
    Start,
    /** The proof of the configuration in hand was old, or a newer one was known to be there. */
    Proof,
    /** To hear of changes, after an answer of the watch before or a rest. */
    Watch,
    /** The store had forgotten the changes since the last answer. */
    HistoryGone,
    /** A further part of a list. */
    Page,
    /** The call before failed. */
    Failure,
    /** A watch had not told of what the store was known to have. */
    Overdue,
};

template<>
inline constexpr auto nameTable<StoreCallReason> = std::to_array<NameEntry<StoreCallReason>>({
    {StoreCallReason::Start, "start"},
    {StoreCallReason::Proof, "proof"},
    {StoreCallReason::Watch, "watch"},
    {StoreCallReason::HistoryGone, "history_gone"},
    {StoreCallReason::Page, "page"},
    {StoreCallReason::Failure, "failure"},
    {StoreCallReason::Overdue, "overdue"},
});

/** What a watcher hears. */
class StoreListener
{
public:
    virtual ~StoreListener() = default;
    /**
     * The configuration as it lies in the store. @param readAt present where it was the newest there at that moment.
     * @return whether that proves anything: where it does not, it is not asked for again at once.
     */
    virtual bool configurationRead(const StoredConfiguration &stored, std::optional<Millis> readAt) = 0;
    /** The store has none yet. */
    virtual void configurationAbsent() = 0;
    /**
     * The whole list of targets and evacuations.
     * @param at the position of the store at which the list was complete.
     * @param asOf the list is not older than this.
     */
    virtual void listRead(const StoredTargets &list, Revision at, Millis asOf) = 0;
    virtual void targetWritten(const GatewayTarget &target, Revision at) = 0;
    virtual void targetRemoved(const TargetId &name, Revision at) = 0;
    /** What lies under the target's name cannot be read. */
    virtual void targetUnreadable(const TargetId &name, Revision at) = 0;
    /** The operator requested an evacuation or took one back, at the position that the change states. */
    virtual void evacuationChanged(const GatewayEvacuation &change) = 0;
    /** All that one answer of a watch said of targets and evacuations has been told. */
    virtual void targetChangesEnd() = 0;
    /** A watch was answered, with or without changes: all up to revision has been told, as it was then or later. */
    virtual void watchAnswered(Revision upTo, Millis asOf) = 0;
    /** The store has come back from a copy, as a later era of its answers says. */
    virtual void storeRestored(std::uint64_t era) = 0;
    virtual void storeLost(const std::string &problem) = 0;
    virtual void storeReturned() = 0;
};

/** Follows one store. */
class StoreWatcher
{
public:
    /** All references outlive it. @param linkMbps what the instance's link carries. */
    StoreWatcher(const GatewayDialect &dialect,
                 const std::string &address,
                 const StoreTimes &times,
                 double linkMbps,
                 const Log &log,
                 StoreListener &listener);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    /**
     * @param proofAge how long ago the configuration in force was proven to be the newest, by whomever.
     * @param longestProofAge at which age this gateway reads it.
     */
    void tick(Millis now, Millis proofAge, Millis longestProofAge);
    /**
     * Neither lists nor watches while on, but for the first list and configuration: peers tell what the store says.
     * @param heardUpTo the store's revision up to which the list of targets is complete: switched off, the watch goes
     * on from there, or everything is read again where the store has forgotten what came since.
     */
    void setResting(bool on, Revision heardUpTo);
    /** The store is known to have come as far as that era, whoever said so: earlier ones are not believed any more. */
    void setEra(std::uint64_t era);
    /** For calls from now on. */
    void setTimes(const StoreTimes &times);
    /** The longest pause between two calls that fail. */
    void setLongestPause(Millis pause);
    /** When the store last told this gateway itself how the targets are; 0 for never. */
    Millis targetsHeardAt() const;
    /** Calls made so far for that reason. */
    std::uint64_t calls(StoreCallReason reason) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
