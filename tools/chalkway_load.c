/*
    chalkway-load SCENARIO.ini [-o FILE.json]: open-loop load against running hosts; see samples/load.ini.

    [load]            addresses (IP:PORT, separated by commas), seconds, callers, seed
    [workspace NAME]  token, share
    [class NAME]      path, model (engines), once, stream, deadline_ms, weight, length, rate,
                      burst_at_s, burst_rate, burst_s
*/
#include <argp.h>
#include <ini.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "load.h"

#define TEXTS_MAX 16384
#define PROGRESS_EVERY 10 /* calls of on_time, of 100 ms each */

const char* argp_program_version = "chalkway-load 0.1.0";

typedef struct args_t {
    const char* scenario;
    const char* output;
} args_t;

typedef struct scenario_t {
    load_desc_t load;
    uint32_t seeds;
    char texts[TEXTS_MAX]; /* of names, paths and tokens */
    size_t used;
    int wrong; /* settings that are not known */
    int ticks;
} scenario_t;

static const char* keep(scenario_t* s, const char* text) {
    size_t size = strlen(text) + 1;
    if (s->used + size > sizeof(s->texts)) {
        s->wrong++;
        return "";
    }
    char* out = s->texts + s->used;
    memcpy(out, text, size);
    s->used += size;
    return out;
}

/* -- the scenario --------------------------------------------------------- */

static bool read_load(scenario_t* s, const char* key, const char* value) {
    if (strcmp(key, "seconds") == 0) {
        s->load.seconds = strtod(value, NULL);
    } else if (strcmp(key, "callers") == 0) {
        s->load.callers = (uint32_t)strtoul(value, NULL, 10);
    } else if (strcmp(key, "seed") == 0) {
        s->load.seed = strtoull(value, NULL, 10);
    } else if (strcmp(key, "addresses") == 0) {
        char* list = (char*)keep(s, value);
        char* rest = NULL;
        for (char* a = strtok_r(list, ", ", &rest); a && s->seeds < 15; a = strtok_r(NULL, ", ", &rest)) {
            s->load.seeds[s->seeds++] = a;
        }
    } else {
        return false;
    }
    return true;
}

static load_workspace_t* workspace_of(scenario_t* s, const char* name) {
    static const char* names[LOAD_MAX_WORKSPACES];
    for (uint32_t i = 0; i < s->load.workspace_count; i++) {
        if (strcmp(names[i], name) == 0) {
            return &s->load.workspaces[i];
        }
    }
    if (s->load.workspace_count == LOAD_MAX_WORKSPACES) {
        return NULL;
    }
    names[s->load.workspace_count] = keep(s, name);
    s->load.workspaces[s->load.workspace_count] = (load_workspace_t){.share = 1};
    return &s->load.workspaces[s->load.workspace_count++];
}

static load_class_t* class_of(scenario_t* s, const char* name) {
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        if (strcmp(s->load.classes[i].name, name) == 0) {
            return &s->load.classes[i];
        }
    }
    if (s->load.class_count == LOAD_MAX_CLASSES) {
        return NULL;
    }
    load_class_t* c = &s->load.classes[s->load.class_count++];
    *c = (load_class_t){.name = keep(s, name), .deadline_ms = 10000, .weight = 1, .length = 50};
    return c;
}

static bool read_workspace(scenario_t* s, const char* name, const char* key, const char* value) {
    load_workspace_t* w = workspace_of(s, name);
    if (w && strcmp(key, "token") == 0) {
        w->token = keep(s, value);
    } else if (w && strcmp(key, "share") == 0) {
        w->share = strtod(value, NULL);
    } else {
        return false;
    }
    return true;
}

static bool read_class(scenario_t* s, const char* name, const char* key, const char* value) {
    load_class_t* c = class_of(s, name);
    double number = strtod(value, NULL);
    if (!c) {
        return false;
    }
    if (strcmp(key, "path") == 0) {
        c->path = keep(s, value);
    } else if (strcmp(key, "model") == 0) {
        c->model = keep(s, value);
    } else if (strcmp(key, "once") == 0) {
        c->once = strcmp(value, "yes") == 0;
    } else if (strcmp(key, "stream") == 0) {
        c->stream = strcmp(value, "yes") == 0;
    } else if (strcmp(key, "deadline_ms") == 0) {
        c->deadline_ms = (uint32_t)number;
    } else if (strcmp(key, "weight") == 0) {
        c->weight = number;
    } else if (strcmp(key, "length") == 0) {
        c->length = number;
    } else if (strcmp(key, "rate") == 0) {
        c->phases[0].rate = number;
    } else if (strcmp(key, "burst_at_s") == 0) {
        c->phases[1].from_s = number;
    } else if (strcmp(key, "burst_rate") == 0) {
        c->phases[1].rate = number;
    } else if (strcmp(key, "burst_s") == 0) {
        c->phases[2].from_s = number; /* its end, made absolute when all is read */
    } else {
        return false;
    }
    return true;
}

static int read_line(void* user, const char* section, const char* key, const char* value) {
    scenario_t* s = user;
    bool known = false;
    if (strcmp(section, "load") == 0) {
        known = read_load(s, key, value);
    } else if (strncmp(section, "workspace ", 10) == 0) {
        known = read_workspace(s, section + 10, key, value);
    } else if (strncmp(section, "class ", 6) == 0) {
        known = read_class(s, section + 6, key, value);
    }
    if (!known) {
        fprintf(stderr, "[%s] %s: is not known\n", section, key);
        s->wrong++;
    }
    return 1;
}

/* Completes what the lines left open; false after messages. */
static bool complete(scenario_t* s) {
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        load_class_t* c = &s->load.classes[i];
        if (!c->path) {
            fprintf(stderr, "[class %s] path: is missing\n", c->name);
            s->wrong++;
        }
        if (c->phases[1].from_s > 0) {
            c->phases[2] =
                (load_phase_t){.from_s = c->phases[1].from_s + c->phases[2].from_s, .rate = c->phases[0].rate};
        }
    }
    for (uint32_t i = 0; i < s->load.workspace_count; i++) {
        if (!s->load.workspaces[i].token) {
            fprintf(stderr, "a workspace has no token\n");
            s->wrong++;
        }
    }
    if (!s->seeds || !s->load.class_count || !s->load.workspace_count || s->load.seconds <= 0) {
        fprintf(stderr, "addresses, seconds, a class and a workspace are needed\n");
        s->wrong++;
    }
    return s->wrong == 0;
}

/* -- results -------------------------------------------------------------- */

static void on_time(void* user, double at_s) {
    scenario_t* s = user;
    if (++s->ticks % PROGRESS_EVERY == 0) {
        fprintf(stderr, "\r%.0f of %.0f s ", at_s, s->load.seconds);
    }
}

static json_t* report(const scenario_t* s, const load_result_t* r) {
    json_t* classes = json_object();
    double goodput = 0;
    printf("%-24s %7s %10s %7s %7s %7s %8s %8s %7s\n", "CLASS", "SENT", "ATTAINMENT", "P50 MS", "P95 MS", "P99 MS",
           "REFUSED", "UNKNOWN", "WRONG");
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        const load_class_result_t* c = &r->classes[i];
        double attainment = c->sent ? (double)c->in_time / c->sent : 0;
        uint32_t unknown = c->unknown + c->failed + c->cut;
        goodput += s->load.classes[i].weight * c->in_time / r->seconds;
        printf("%-24s %7u %10.4f %7u %7u %7u %8u %8u %7u\n", s->load.classes[i].name, c->sent, attainment,
               cw_hist_quantile(&c->total_ms, 0.5), cw_hist_quantile(&c->total_ms, 0.95),
               cw_hist_quantile(&c->total_ms, 0.99), c->refused, unknown, c->wrong);
        json_object_set_new(classes, s->load.classes[i].name,
                            json_pack("{s:i,s:f,s:i,s:i,s:i,s:i,s:i,s:i}", "sent", (int)c->sent, "attainment",
                                      attainment, "p50_ms", (int)cw_hist_quantile(&c->total_ms, 0.5), "p95_ms",
                                      (int)cw_hist_quantile(&c->total_ms, 0.95), "p99_ms",
                                      (int)cw_hist_quantile(&c->total_ms, 0.99), "refused", (int)c->refused, "unknown",
                                      (int)unknown, "wrong", (int)c->wrong));
    }
    printf("goodput %.2f/s, retries %u, generator lag p99 %u ms\n", goodput, r->retries, r->lag_p99_ms);
    return json_pack("{s:o,s:f,s:i,s:i}", "classes", classes, "goodput", goodput, "retries", (int)r->retries,
                     "lag_p99_ms", (int)r->lag_p99_ms);
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'o':
            args->output = arg;
            return 0;
        case ARGP_KEY_ARG:
            args->scenario = arg;
            return 0;
        case ARGP_KEY_END:
            if (!args->scenario) {
                argp_error(state, "a scenario is needed");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {{"output", 'o', "FILE", 0, "results as JSON", 0}, {0}};
    const struct argp argp = {
        .options = options, .parser = parse_option, .args_doc = "SCENARIO.ini", .doc = "Open-loop load for chalkway."};
    static scenario_t scenario;
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    scenario.load.seed = 1;
    if (ini_parse(args.scenario, read_line, &scenario) != 0) {
        fprintf(stderr, "%s: cannot be read\n", args.scenario);
        return EX_CONFIG;
    }
    if (!complete(&scenario)) {
        return EX_CONFIG;
    }
    signal(SIGPIPE, SIG_IGN);
    scenario.load.on_time = on_time;
    scenario.load.user_data = &scenario;
    load_result_t result = load_run(&scenario.load);
    fprintf(stderr, "\r                    \r");
    json_t* root = report(&scenario, &result);
    int failed = args.output ? json_dump_file(root, args.output, JSON_INDENT(2)) : 0;
    json_decref(root);
    return failed ? EX_CANTCREAT : EX_OK;
}
