// The gateway that is turned away has a link of 10 Mbit/s.
#include "../support-3/large_configuration.h"

int main(int argc, char** argv)
{
    using namespace review3;
    constexpr large_configuration played{10, 1'400, 6, ms(1'200)};
    return run_case(argc, argv, [&](journal& log, const std::filesystem::path& folder) {
        return play_large_configuration(log, folder, played);
    });
}
