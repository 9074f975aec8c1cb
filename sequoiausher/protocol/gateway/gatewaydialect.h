#pragma once

// How one platform speaks: its headers, its store's calls and its formats, turned into the gateway's own types. An
// adapter implements this and decides nothing; the gateway decides and knows no name of the platform.
//
//     const CallerRequest request = dialect.readRequest(head);
//     stream->write(dialect.targetRequestHead(head, request, order));
//     const TargetAnswer answer = dialect.readAnswer(answerHead);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"
#include "sequoiausher/protocol/http/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** One part of a prompt, by which targets cache. */
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/** What a caller's head says. */
struct CallerRequest
{
    /** Of this attempt of the caller, echoed in every answer. */
    std::string attemptId;
    std::string host;
    /** How long the caller will wait; absent where it does not say. */
    std::optional<Millis> timeLeft;
    /** Empty for none. */
    std::string key;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t mostOutputTokens = 0;
    /** In order; the last one is the request's own. */
    std::vector<PromptPart> parts;
    /** The caller has the stream up to this event; empty for none. */
    std::string lastEventId;
    /** The caller's attempt that brought the first event of the stream that is taken up; empty where it does not say.
     */
    std::string resumedAttempt;
};

/** What the gateway adds to a request on its way to a target. */
struct TargetOrder
{
    /** The name of the target that is meant: another one refuses. */
    TargetId target;
    Millis timeLeft;
    /** Empty where the request needs no key. */
    OrganisationId organisation;
    /** 0 first to 9 last. */
    std::uint32_t priority = 5;
    /** The target continues after this event; empty for the whole stream. */
    std::string lastEventId;
    std::size_t bodyBytes = 0;
    /** Address of a target from which the prompt's cached parts are copied first; empty for none. */
    std::string copyFrom;
};

/** What a target's head says. */
struct TargetAnswer
{
    int status = 0;
    /** It did not run the request and never will. */
    bool didNotRun = false;
    /** Another target answers at this address. */
    bool isMisdirected = false;
    /** Bears the mark that callers know answers by; a success without it is none. */
    bool isSigned = false;
    /** Empty where the answer names none. */
    std::string attemptId;
    bool isEventStream = false;
    /** How long the target keeps an unused connection; absent where it does not say. */
    std::optional<Millis> idleTime;
    /** The target that answered leaves: it wants no further request. */
    bool isLeaving = false;
    /** It turned the request away and wants none for so long. */
    std::optional<Millis> restFor;
    /** How long work takes there now, in percent of the usual time; absent where it does not say. */
    std::optional<std::uint16_t> slownessPercent;
    /** The requests that it runs or keeps waiting, this one included; absent where it does not say. */
    std::optional<std::uint32_t> heldRequests;
    /** It crashes when it has to reject more requests than this in a second for want of room. */
    std::optional<std::uint32_t> mostRejections;
};

/** The value under which the store holds the configuration. */
struct StoredConfiguration
{
    /** The configuration as it lies in the store; empty where there is none yet. */
    std::string raw;
    /** Grows with each change of the value. */
    Revision changedAt = 0;
    /** The store's own revision when it answered. */
    Revision storeRevision = 0;
};

/** A part of the store's list of targets. */
struct StoredTargets
{
    /** Where parts overlap, an entry comes again; the later one is the newer one. */
    std::vector<GatewayTarget> targets;
    /** More follows after this part. */
    bool hasMore = false;
    /** The key after which the next part begins; empty after the last part, and where no entry's key can be read. */
    std::string next;
    Revision storeRevision = 0;
    /** Names under which something lies that cannot be read, and so names no target. */
    std::vector<TargetId> unreadable;
    /** Entries that could not be read, each with its key and what is wrong. */
    std::vector<std::string> problems;
    /** The evacuated data centres, each with the store's revision at which the operator requested it. */
    std::vector<GatewayEvacuation> evacuations;
};

/** One change in the store. */
struct StoreEvent
{
    /** Present where the configuration was written. */
    std::optional<StoredConfiguration> configuration;
    /** Present where a target's entry was written. */
    std::optional<GatewayTarget> target;
    /** The name of a target whose entry was removed; empty for none. */
    TargetId removedTarget;
    /** The name of a target whose entry was overwritten by one that cannot be read; empty for none. */
    TargetId unreadableTarget;
    /** Present where the operator requested an evacuation or took one back. */
    std::optional<GatewayEvacuation> evacuation;
};

/** What a watch heard. */
struct StoreEvents
{
    std::vector<StoreEvent> events;
    /** Continue from here. */
    Revision storeRevision = 0;
    std::vector<std::string> problems;
};

/** An adapter. Every decoder throws Error(Step::Decode or Step::Platform, ...) for what it cannot read. */
class GatewayDialect
{
public:
    virtual ~GatewayDialect() = default;

    /** Throws where the head is none of a proper request. */
    virtual CallerRequest readRequest(const HttpHead &head) const = 0;
    /** The head that goes to the target, blank line included, without what only the gateway may say. */
    virtual std::string
    targetRequestHead(const HttpHead &head, const CallerRequest &request, const TargetOrder &order) const = 0;
    virtual TargetAnswer readAnswer(const HttpHead &head) const = 0;
    /** The fields of a target's answer that the caller gets, each with its line end, without any about the body. */
    virtual std::string passedOnFields(const HttpHead &answer) const = 0;
    /** The field that names the attempt, for an answer of the gateway's own. */
    virtual std::string attemptField(const CallerRequest &request) const = 0;

    /** Method and path of the calls to the store, and their answers. */
    virtual std::string configurationCall() const = 0;
    virtual StoredConfiguration readConfigurationAnswer(int status, const std::string &body) const = 0;
    /**
     * Lists targets and evacuations. @param next the key after which the page begins, which may hold any bytes; empty
     * for the first page.
     */
    virtual std::string targetsCall(const std::string &next) const = 0;
    virtual StoredTargets readTargetsAnswer(const std::string &body) const = 0;
    /** Waits for changes of the configuration, of targets and of evacuations. */
    virtual std::string watchCall(Revision after, Millis wait) const = 0;
    virtual StoreEvents readWatchAnswer(const std::string &body) const = 0;
    /** Whether a watch's answer with this status says that its history is gone. */
    virtual bool isHistoryGone(int status) const = 0;
    /** The era of the store that answered: rises by one with each return from a copy; 0 where the answer tells none. */
    virtual std::uint64_t storeEra(const HttpHead &answer) const = 0;

    /** Reads the configuration that lies in the store. */
    virtual GatewayConfiguration readConfiguration(const std::string &raw) const = 0;

    /** The path at which the platform asks whether this gateway is ready. */
    virtual std::string readinessPath() const = 0;
};

} // namespace Sequoiausher
