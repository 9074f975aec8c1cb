#include "sequoiausher/cli/explaincommand.h"

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/cli/documentfolder.h"
#include "sequoiausher/cli/fleetoptions.h"
#include "sequoiausher/cli/fleetstatus.h"
#include "sequoiausher/cli/targetchoice.h"
#include "sequoiausher/protocol/settings/fleetdocuments.h"
#include "sequoiausher/protocol/settings/routersettings.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <limits>
#include <map>
#include <ostream>

namespace Sequoiausher {

namespace {

/** NAME and VALUE of an option written NAME=VALUE. */
struct NamedValue
{
    std::string name;
    std::string value;
};

std::vector<NamedValue> namedValues(const cxxopts::ParseResult &options, const std::string &option)
{
    std::vector<NamedValue> pairs;
    if (options.count(option) == 0) {
        return pairs;
    }
    for (const std::string &text : options[option].as<std::vector<std::string>>()) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            throw Error(Step::Settings, "--" + option, "found " + inQuotes(text) + ", expected NAME=VALUE");
        }
        pairs.push_back({text.substr(0, equals), text.substr(equals + 1)});
    }
    return pairs;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

RequestClass classOf(const std::string &text)
{
    const auto value = parseName<RequestClass>(text);
    if (!value) {
        throw Error(
            Step::Settings, "--class", "found " + inQuotes(text) + ", expected one of urgent, interactive, background");
    }
    return *value;
}

Millis timeOf(const std::string &text)
{
    constexpr std::size_t length = 5;
    constexpr std::size_t colon = 2;
    constexpr std::int64_t msPerMinute = 60000;
    constexpr std::int64_t minutesPerHour = 60;
    const bool shaped = text.size() == length && text[colon] == ':';
    const auto hour = shaped ? parseInteger(text.substr(0, colon), {0, 23, ""}) : std::nullopt;
    const auto minute = shaped ? parseInteger(text.substr(colon + 1), {0, minutesPerHour - 1, ""}) : std::nullopt;
    if (!hour || !minute) {
        throw Error(Step::Settings, "--time", "found " + inQuotes(text) + ", expected HH:MM in UTC");
    }
    return Millis{(*hour * minutesPerHour + *minute) * msPerMinute};
}

/** What running routers said; nothing where none was asked. */
struct LiveFleet
{
    DocumentSet documents;
    TargetLoads loads;
    std::map<std::string, std::uint64_t> inFlight;
    std::uint32_t boundPercent = AdmissionSettings{}.boundPercent;
};

DocumentSet documentsAt(OperatorClient &client, const std::string &address)
{
    const std::string page = client.get(address, "/documents");
    const QJsonArray documents
        = QJsonDocument::fromJson(QByteArray::fromStdString(page)).object()["documents"].toArray();
    DocumentSet set;
    for (const auto &value : documents) {
        const QJsonObject object = value.toObject();
        Document document;
        document.name = object["name"].toString().toStdString();
        document.revision = static_cast<Revision>(object["revision"].toInteger());
        document.body = object["body"].toString().toStdString();
        set[document.name] = std::make_shared<const Document>(document);
    }
    return set;
}

LiveFleet readLive(const std::vector<std::string> &addresses, bool withDocuments)
{
    OperatorClient client;
    const FleetStatus fleet = readFleet(client, addresses);
    LiveFleet live;
    live.boundPercent = fleet.routers.front().boundPercent;
    for (const PoolStatus &pool : poolStatuses(fleet)) {
        live.inFlight[pool.pool.name] = pool.total;
        live.loads.insert(pool.inFlight.begin(), pool.inFlight.end());
    }
    if (withDocuments) {
        live.documents = documentsAt(client, addresses.front());
    }
    return live;
}

/** Live targets as the documents list them, and what is in flight as the fleet and the options say. */
std::vector<PoolState>
poolStates(const FleetDocuments &fleet, const LiveFleet &running, const std::vector<NamedValue> &inFlight)
{
    std::vector<PoolState> states;
    for (const PoolDescription &pool : fleet.pools) {
        const auto live = std::count_if(pool.targets.begin(), pool.targets.end(), [](const TargetDescription &target) {
            return target.life.state == LifeState::Live;
        });
        const auto known = running.inFlight.find(pool.pool.value);
        const std::uint64_t total = known == running.inFlight.end() ? 0 : known->second;
        states.push_back({pool.pool, static_cast<std::uint32_t>(live), total});
    }
    for (const NamedValue &load : inFlight) {
        const auto state = std::find_if(states.begin(), states.end(), [&](const PoolState &candidate) {
            return candidate.pool.value == load.name;
        });
        const auto count = parseInteger(load.value, {0, std::numeric_limits<std::int64_t>::max(), ""});
        if (state == states.end() || !count) {
            throw Error(Step::Settings,
                        "--in-flight",
                        "found " + inQuotes(load.name + "=" + load.value) + ", expected POOL=N with a listed pool");
        }
        state->inFlight = static_cast<std::uint64_t>(*count);
    }
    return states;
}

RequestFacts factsOf(const cxxopts::ParseResult &options, const FleetDocuments &fleet, const LiveFleet &running)
{
    RequestFacts facts;
    facts.organisation.value = options["organisation"].as<std::string>();
    facts.requestClass = classOf(options["class"].as<std::string>());
    facts.model = options["model"].as<std::string>();
    facts.path = options["path"].as<std::string>();
    facts.method = options["method"].as<std::string>();
    facts.chatHash = hash64(options["chat"].as<std::string>());
    facts.promptBytes = options["prompt-bytes"].as<std::uint64_t>();
    facts.wallTime = options.count("time") > 0 ? timeOf(options["time"].as<std::string>()) : Millis::wallNow();
    for (const NamedValue &header : namedValues(options, "header")) {
        facts.headers.push_back({lowerCase(header.name), header.value});
    }
    facts.pools
        = std::make_shared<const std::vector<PoolState>>(poolStates(fleet, running, namedValues(options, "in-flight")));
    return facts;
}

/** The prefix is known only where the request names it: its first message is not at hand. */
ChoiceKeys keysOf(const RequestFacts &facts)
{
    ChoiceKeys keys{facts.chatHash, 0};
    for (const RequestHeader &header : facts.headers) {
        if (header.name == "x-prefix-id") {
            keys.prefixHash = prefixHashOf(facts.organisation, header.value);
        }
    }
    return keys;
}

std::string outcomeText(const Decision &decision)
{
    if (decision.refusal) {
        return "refused with " + std::to_string(decision.refusal->status) + ": " + decision.refusal->text;
    }
    std::string text = "pool " + decision.pool.value + " by " + std::string(nameOf(decision.policy)) + ", priority "
        + std::to_string(decision.priority) + ", retry " + std::string(nameOf(decision.retry)) + ", claim "
        + std::string(nameOf(decision.claim));
    if (decision.boundPercent) {
        text += ", bound " + std::to_string(*decision.boundPercent) + "%";
    }
    if (!decision.experiment.empty()) {
        text += ", experiment " + decision.experiment + " arm " + decision.arm;
    }
    return text;
}

void printChoice(const TargetChoice &choice, std::ostream &out)
{
    out << "shard " << choice.shard.pool.value << "/" << choice.shard.shard << " of "
        << (choice.owner.value.empty() ? "nobody" : choice.owner.value) << ", bound " << choice.bound << ", the "
        << (choice.isByPrefix ? "prefix" : "chat") << "'s order:";
    for (const RankedTarget &target : choice.order) {
        out << " " << target.name << "=" << target.inFlight;
        if (target.state != nameOf(LifeState::Live)) {
            out << "(" << target.state << ")";
        }
    }
    out << "\nexplain: target " << choice.chosen.value_or("open") << ": " << choice.reason << "\n";
}

void printText(const Explanation &explanation, const std::optional<TargetChoice> &choice, std::ostream &out)
{
    for (const RuleVerdict &verdict : explanation.verdicts) {
        out << verdict.document << " [rule " << verdict.rule << "]: ";
        if (verdict.decides) {
            out << "decides\n";
        } else {
            out << "no: " << verdict.key << " = " << verdict.expected << ", the request has " << verdict.found << "\n";
        }
    }
    if (explanation.decision) {
        out << "explain: " << outcomeText(*explanation.decision) << "\n";
    } else {
        out << "explain: no rule decides; the request is answered 404\n";
    }
    if (choice) {
        printChoice(*choice, out);
    }
}

QJsonObject toJson(const RuleVerdict &verdict)
{
    return {
        {"document", QString::fromStdString(verdict.document)},
        {"rule", QString::fromStdString(verdict.rule)},
        {"decides", verdict.decides},
        {"key", QString::fromStdString(verdict.key)},
        {"expected", QString::fromStdString(verdict.expected)},
        {"found", QString::fromStdString(verdict.found)},
    };
}

QJsonObject toJson(const Decision &decision)
{
    QJsonObject object{
        {"document", QString::fromStdString(decision.document)},
        {"rule", QString::fromStdString(decision.rule)},
    };
    if (decision.refusal) {
        object["refuse"] = static_cast<qint64>(decision.refusal->status);
        object["text"] = QString::fromStdString(decision.refusal->text);
        return object;
    }
    object["pool"] = QString::fromStdString(decision.pool.value);
    object["policy"] = QString::fromUtf8(nameOf(decision.policy).data());
    object["priority"] = static_cast<qint64>(decision.priority);
    object["retry"] = QString::fromUtf8(nameOf(decision.retry).data());
    object["claim"] = QString::fromUtf8(nameOf(decision.claim).data());
    object["experiment"] = QString::fromStdString(decision.experiment);
    object["arm"] = QString::fromStdString(decision.arm);
    return object;
}

QJsonObject toJson(const TargetChoice &choice)
{
    QJsonArray order;
    for (const RankedTarget &target : choice.order) {
        order.append(QJsonObject{{"name", QString::fromStdString(target.name)},
                                 {"state", QString::fromStdString(target.state)},
                                 {"in_flight", static_cast<qint64>(target.inFlight)}});
    }
    QJsonObject object{{"shard", static_cast<qint64>(choice.shard.shard)},
                       {"owner", QString::fromStdString(choice.owner.value)},
                       {"bound", static_cast<qint64>(choice.bound)},
                       {"order", order},
                       {"reason", QString::fromStdString(choice.reason)}};
    object["chosen"] = choice.chosen ? QJsonValue(QString::fromStdString(*choice.chosen)) : QJsonValue();
    return object;
}

void printJson(const Explanation &explanation, const std::optional<TargetChoice> &choice, std::ostream &out)
{
    QJsonArray verdicts;
    for (const RuleVerdict &verdict : explanation.verdicts) {
        verdicts.append(toJson(verdict));
    }
    QJsonObject object{{"rules", verdicts}};
    object["decision"] = explanation.decision ? QJsonValue(toJson(*explanation.decision)) : QJsonValue();
    object["target"] = choice ? QJsonValue(toJson(*choice)) : QJsonValue();
    out << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << "\n";
}

} // namespace

CommandHelp ExplainCommand::help() const
{
    return {"explain",
            "Show which rule decides for a request and which target it gets, and why not others",
            {"sequoiausher explain --documents etc/documents --organisation kentekenlab --model plate-model --chat 42",
             "sequoiausher explain --documents etc/documents --path /orders/7 --method GET --header x-trial=on",
             "sequoiausher explain --router 127.0.0.1:7401 --organisation kentekenlab --model plate-model --chat 42"}};
}

void ExplainCommand::addOptions(cxxopts::Options &options) const
{
    auto add = options.add_options();
    const auto text
        = [](const std::string &fallback) { return cxxopts::value<std::string>()->default_value(fallback); };
    addFleetOptions(options);
    add("documents",
        "A folder with documents; else those in force at the first --router",
        cxxopts::value<std::string>(),
        "DIR");
    add("organisation", "Who calls", text(""), "NAME");
    add("class", "urgent, interactive or background", text("interactive"), "CLASS");
    add("model", "The model asked for", text(""), "NAME");
    add("path", "The request's path", text("/v1/chat/completions"), "PATH");
    add("method", "The request's method", text("POST"), "METHOD");
    add("chat", "The chat's id", text(""), "ID");
    add("prompt-bytes", "Bytes of the messages", cxxopts::value<std::uint64_t>()->default_value("0"), "N");
    add("header", "A header; may be given again", cxxopts::value<std::vector<std::string>>(), "NAME=VALUE");
    add("time", "Time of day in UTC; now where not given", cxxopts::value<std::string>(), "HH:MM");
    add("in-flight", "Requests in flight on a pool", cxxopts::value<std::vector<std::string>>(), "POOL=N");
    add("json", "Print one JSON object");
}

ExitCode ExplainCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    const bool fromFolder = options.count("documents") > 0;
    const bool fromFleet = options.count("router") + options.count("settings") > 0;
    if (!fromFolder && !fromFleet) {
        err << "explain: found no --documents, expected a folder with documents, or --router\n";
        return ExitCode::BadInput;
    }
    const std::string folder = fromFolder ? options["documents"].as<std::string>() : "";
    const LiveFleet live = fromFleet ? readLive(fleetAddresses(options), !fromFolder) : LiveFleet{};
    Problems problems;
    const DocumentSet documents = fromFolder ? readDocumentFolder(folder) : live.documents;
    const FleetDocuments fleet = parseFleetDocuments(documents, Severity::Warning, problems);
    if (hasErrors(problems)) {
        for (Problem &problem : problems) {
            problem.file = fromFolder ? documentPath(folder, problem.file) : problem.file;
            err << toText(problem) << "\n";
        }
        return ExitCode::BadInput;
    }
    const RequestFacts facts = factsOf(options, fleet, live);
    const Explanation explanation = fleet.rules->explain(facts);
    std::optional<TargetChoice> choice;
    if (explanation.decision) {
        choice = chooseTarget(fleet, *explanation.decision, keysOf(facts), live.loads, live.boundPercent);
    }
    if (options.count("json") > 0) {
        printJson(explanation, choice, out);
    } else {
        printText(explanation, choice, out);
    }
    return explanation.decision ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace Sequoiausher
