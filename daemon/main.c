/* chalkwayd: one process of the router. See docs/operators/settings.md. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <sysexits.h>

#include "node.h"

const char* argp_program_version = "chalkwayd 0.1.0";

typedef struct args_t {
    const char* config;
    bool check;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'c':
            args->config = arg;
            return 0;
        case 'k':
            args->check = true;
            return 0;
        case ARGP_KEY_END:
            if (!args->config) {
                argp_error(state, "a settings file is needed: -c FILE");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

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
    static const struct argp_option options[] = {
        {"config", 'c', "FILE", 0, "settings (INI)", 0},
        {"check", 'k', NULL, 0, "check the settings and end", 0},
        {0},
    };
    const struct argp argp = {.options = options,
                              .parser = parse_option,
                              .doc = "Routes requests to upstreams by service level and priority."};
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    cw_settings_t settings;
    if (!load(args.config, &settings)) {
        return EX_CONFIG;
    }
    if (args.check) {
        printf("settings are valid\n");
        return EX_OK;
    }
    signal(SIGPIPE, SIG_IGN);
    cw_error_t err = {0};
    node_t* node = node_setup(&settings, &err);
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
