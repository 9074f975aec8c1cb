#pragma once

// `sequoiausher report`: collects the routers' metrics and compares the arms of each experiment.
//
//     sequoiausher report --router 127.0.0.1:7401 --html report.html

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Exits with Ok if every listed router returned its metrics, and with Unreachable otherwise. */
class ReportCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
