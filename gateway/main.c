/* chalkway-gateway: routes requests by host and path, in chalkway's own dialect. See docs/operators/gateway.md. */
#include <stdio.h>
#include <sysexits.h>

#include "../io/options.h"
#include "gateway.h"
#include "settings.h"

static int check(const char* path) {
    gateway_settings_t settings;
    cw_settings_errors_t errors = {0};
    gateway_settings_load(path, &settings, &errors);
    for (uint32_t i = 0; i < errors.count; i++) {
        fprintf(stderr, "%s\n", errors.lines[i]);
    }
    if (!errors.count) {
        printf("settings are valid\n");
    }
    return errors.count ? EX_CONFIG : EX_OK;
}

int main(int argc, char** argv) {
    cw_options_t options =
        cw_options_parse(argc, argv, "chalkway-gateway 0.1.0", "Routes requests by host and path to pools of servers.");
    return options.check ? check(options.settings) : gateway_main(options.settings, &dialect_native, &source_native);
}
