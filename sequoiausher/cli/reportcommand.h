#pragma once

// `sequoiausher report`: gathers the routers' metrics and shows the arms of each experiment side by side.
//
//     sequoiausher report --router 127.0.0.1:7401 --html report.html

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where every listed router gave its figures, and with Unreachable where one is missing from them. */
class ReportCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
