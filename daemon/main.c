/* chalkwayd: the router's daemon. For settings see docs/operators/settings.md. */
#include <signal.h>
#include <stdio.h>
#include <sysexits.h>

#include "../io/options.h"
#include "node.h"

static bool load(const char* path, cw_settings_t* settings) {
    cw_settings_errors_t errors = {0};
    if (cw_settings_load(path, settings, &errors) == CW_OK) {
        return true;
    }
    for (uint32_t i = 0; i < errors.count; i++) {
        fprintf(stderr, "%s\n", errors.lines[i]);
    }
    return false;
}

int main(int argc, char** argv) {
    cw_options_t options =
        cw_options_parse(argc, argv, "chalkwayd 0.1.0", "Routes requests to upstreams by service level and priority.");
    cw_settings_t settings;
    if (!load(options.settings, &settings)) {
        return EX_CONFIG;
    }
    if (options.check) {
        printf("settings are valid\n");
        return EX_OK;
    }
    signal(SIGPIPE, SIG_IGN);
    cw_error_t err = {0};
    node_t* node = node_setup(&settings, options.settings, &err);
    if (!node) {
        fprintf(stderr, "%s\n", cw_error_text(&err).text);
        return EX_UNAVAILABLE;
    }
    printf("ready http=%s peer=%s operator=%s\n", cw_httpd_address(node->http), cw_peers_address(node->peers),
           cw_httpd_address(node->operator_http));
    fflush(stdout);
    int code = node_run(node);
    node_shutdown(node);
    return code ? EX_SOFTWARE : EX_OK;
}
