#pragma once

// How many requests a target holds, as the admission owner of its service estimates it. The owner counts the requests
// that it has granted, but a count goes wrong in two ways. A request whose answer was lost without a sign stays counted
// until its gateway gives it up, seconds after the target has finished it; counted as load, it makes the other targets
// look empty. And requests that others have sent are not counted: those that an earlier owner granted, that another
// gateway which takes itself for the owner grants, or that gateways send without asking.
//
// Most targets announce what they hold at the beginning of each answer. The difference between the announcement and the
// count at that moment corrects the count: downwards at most by the requests that are overdue, so that a target which
// understates its load gains nothing, and upwards by what others have sent. Where a target has announced nothing
// lately, overdue requests count as the announcements of the other targets of the service suggest, and what others have
// sent is estimated from the gateways' reports, compared with the count as it was when these were made.
//
//     OverdueEvidence evidence;
//     TargetOccupancy occupancy;
//     occupancy.add(now);
//     occupancy.recordAnnounced(answer.held, evidence, now);
//     occupancy.recordBegun(grantedAt);
//     if (occupancy.estimate(evidence, now) < bound) { ... }

#include "sequoiausher/base/millis.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace Sequoiausher {

/** Which corrections are made; all of them unless ways are compared. */
struct OccupancySettings
{
    bool usesAnnouncements = true;
    bool usesReports = true;
    /** The part of an overdue request that counts before any announcement: it is unknown whether it still runs. */
    double overdueWeight = 0.4;
};

/** What the targets of a service have announced lately about overdue requests. Not thread-safe. */
class OverdueEvidence
{
public:
    explicit OverdueEvidence(const OccupancySettings &settings = {});

    /** A target with overdue requests did not hold this part of them any more. */
    void record(double goneFraction);
    /** The part of the overdue requests that the targets do not hold any more. */
    double goneFraction() const;

private:
    double fraction;
};

/** The requests at one target. Not thread-safe. */
class TargetOccupancy
{
public:
    explicit TargetOccupancy(const OccupancySettings &settings = {});

    /** A request was granted. */
    void add(Millis now);
    /** The answer to a request that was granted at the given time has begun, so that the request is not overdue. */
    void recordBegun(Millis grantedAt);
    /**
     * A request has ended. Ignored for one that was granted before the target was listed anew, as far as that shows.
     * @param hasBegun whether recordBegun() was called for it
     */
    void remove(Millis grantedAt, bool hasBegun);
    /** The target announced that it holds so many requests. */
    void recordAnnounced(std::uint32_t held, OverdueEvidence &evidence, Millis now);
    /** The requests there by the gateways' last reports. */
    void recordReported(std::uint32_t reported, Millis now);
    /** Forgets what was announced and reported; the granted requests are kept. */
    void forgetOthers();

    /** The granted requests that have not ended. */
    std::uint32_t counted() const;
    /** The requests that the target most likely holds. */
    std::uint32_t estimate(const OverdueEvidence &evidence, Millis now) const;
    /** The least that the target holds as far as is known: as estimate(), without any overdue request. */
    std::uint32_t least(Millis now) const;

private:
    std::uint32_t overdue(Millis now) const;
    /** The count without this many requests, and with those of others. */
    std::uint32_t correctedCount(double gone, Millis now) const;
    /** The requests there that others have sent. */
    double othersHeld(Millis now) const;
    /** Whether the target has announced lately what it holds. */
    bool isAnnounced(Millis now) const;

    OccupancySettings settings;
    std::uint32_t count = 0;
    /** When the requests whose answers have not begun were granted. */
    std::multiset<Millis> unanswered;
    /** The moving average of the requests that others have sent, by the announcements. */
    double othersAnnounced = 0;
    /** The part of the overdue requests that the target did not hold any more by its last announcement. */
    double goneFraction = 0;
    std::optional<Millis> announcedAt;
    /** The counts of the last moments, to compare reports with. */
    std::deque<std::pair<Millis, std::uint32_t>> history;
    double othersReported = 0;
    std::optional<Millis> reportedAt;
};

} // namespace Sequoiausher
