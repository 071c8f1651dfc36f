/*
    chalkwayctl: operators' command line. Shows declared resources with the state in which the hosts apply them.

        chalkwayctl -a IP:PORT get KIND [NAME]       a table, or JSON with -o json
        chalkwayctl -a IP:PORT describe KIND NAME    spec, revisions and conditions
        chalkwayctl -a IP:PORT watch KIND            prints the table again at each new revision
        chalkwayctl -a IP:PORT validate KIND/NAME FILE
        chalkwayctl -a IP:PORT status                the host, the members of its cluster and its shards
        chalkwayctl -a IP:PORT held                  requests suspected of crashing servers, with their quarantine
                                                     verdicts; IP:PORT is a gateway's metrics address
        chalkwayctl -a IP:PORT release FINGERPRINT [WORKSPACE]
                                                     releases such a request on all hosts
        chalkwayctl explain ID FILE...               history of a request from the logs of the daemons
*/
#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "../io/response_head.h"
#include "explain.h"

#define MAX_ARGUMENTS 1024
#define URL_MAX 512
#define BODY_MAX_BYTES (64U << 20) /* of a response; a longer one is refused */
#define WATCH_WAIT_MS 30000L
#define REQUEST_TIMEOUT_MS 10000L

const char* argp_program_version = "chalkwayctl 0.1.0";

typedef struct args_t {
    const char* address;
    bool is_json;
    char* arguments[MAX_ARGUMENTS];
    int count;
} args_t;

typedef struct response_t {
    char* text;
    size_t size;
    long status;
} response_t;

/* -- requests ------------------------------------------------------------- */

static size_t append_body(char* data, size_t size, size_t count, void* user) {
    response_t* r = user;
    size_t n = size * count;
    char* grown = r->size + n <= BODY_MAX_BYTES ? realloc(r->text, r->size + n + 1) : NULL;
    if (!grown) {
        return 0;
    }
    r->text = grown;
    memcpy(r->text + r->size, data, n);
    r->size += n;
    r->text[r->size] = 0;
    return n;
}

/* Sends a blocking request: POST with a body, GET when body is NULL. A transport failure is printed to standard error
   and gives status 0. */
static response_t send_request(const args_t* args, const char* path, const char* body, long timeout_ms) {
    response_t r = {0};
    cw_response_head_t head;
    char url[URL_MAX];
    cw_response_head_setup(&head);
    snprintf(url, sizeof(url), "http://%s%s", args->address, path);
    CURL* e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &r);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, cw_response_head_on_line);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, &head);
    if (body) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(e);
    curl_easy_cleanup(e);
    const char* failure = cw_response_head_failure(&head, code);
    if (failure[0]) {
        fprintf(stderr, "request to %s: %s\n", args->address, failure);
    } else {
        r.status = (long)head.message.status;
    }
    cw_response_head_shutdown(&head);
    return r;
}

/* Prints the error of a response to standard error; returns the exit code of the program. */
static int report_error(const response_t* r) {
    json_t* root = json_loads(r->text ? r->text : "", 0, NULL);
    json_t* error = json_object_get(root, "error");
    const char* message = json_string_value(json_object_get(error, "message"));
    const char* step = json_string_value(json_object_get(error, "step"));
    if (r->status) {
        fprintf(stderr, "%s: %s\n", step ? step : "answer", message ? message : "no error message in the response");
    }
    json_decref(root);
    return r->status == 404 ? EX_DATAERR : r->status == 422 ? EX_DATAERR : EX_UNAVAILABLE;
}

/* -- output --------------------------------------------------------------- */

static void print_json(json_t* root) {
    char* text = json_dumps(root, JSON_INDENT(2));
    puts(text);
    free(text);
}

static json_t* first_condition(json_t* item) {
    return json_array_get(json_object_get(json_object_get(item, "status"), "conditions"), 0);
}

static void print_row(json_t* item) {
    json_t* status = json_object_get(item, "status");
    json_t* condition = first_condition(item);
    printf("%-32s %10lld %10lld  %-8s %s\n", json_string_value(json_object_get(item, "name")),
           (long long)json_integer_value(json_object_get(status, "observed_revision")),
           (long long)json_integer_value(json_object_get(status, "in_force_revision")),
           json_is_true(json_object_get(condition, "status")) ? "yes" : "NO",
           json_string_value(json_object_get(condition, "reason")));
}

static void print_table(json_t* root) {
    size_t i = 0;
    json_t* item = NULL;
    printf("%-32s %10s %10s  %-8s %s\n", "NAME", "OBSERVED", "IN FORCE", "CURRENT", "REASON");
    json_t* items = json_object_get(root, "items");
    if (!items) {
        print_row(root);
    }
    json_array_foreach(items, i, item) {
        print_row(item);
    }
}

static void print_status(json_t* root) {
    size_t i = 0;
    json_t* m = NULL;
    printf("host %s in hall %s, revision %lld, platform %s\n\n", json_string_value(json_object_get(root, "host")),
           json_string_value(json_object_get(root, "hall")),
           (long long)json_integer_value(json_object_get(root, "revision")),
           json_string_value(json_object_get(root, "platform")));
    printf("%-20s %-12s %-8s %-8s %10s  %s\n", "MEMBER", "HALL", "STATE", "LEAVING", "REVISION", "HTTP");
    json_array_foreach(json_object_get(root, "members"), i, m) {
        printf("%-20s %-12s %-8s %-8s %10lld  %s\n", json_string_value(json_object_get(m, "name")),
               json_string_value(json_object_get(m, "hall")), json_string_value(json_object_get(m, "state")),
               json_is_true(json_object_get(m, "leaving")) ? "yes" : "no",
               (long long)json_integer_value(json_object_get(m, "revision")),
               json_string_value(json_object_get(m, "http")));
    }
    printf("\n%-18s %-16s %8s %8s %8s %8s\n", "SHARD", "POOL", "WAITING", "RUNNING", "LIMIT", "WAIT MS");
    json_array_foreach(json_object_get(root, "shards"), i, m) {
        printf("%-18s %-16s %8lld %8lld %8lld %8lld\n", json_string_value(json_object_get(m, "shard")),
               json_string_value(json_object_get(m, "pool")),
               (long long)json_integer_value(json_object_get(m, "waiting")),
               (long long)json_integer_value(json_object_get(m, "running")),
               (long long)json_integer_value(json_object_get(m, "limit")),
               (long long)json_integer_value(json_object_get(m, "wait_ms")));
    }
}

/* -- commands ------------------------------------------------------------- */

static int fetch_and_print(const args_t* args, const char* path, void (*print)(json_t* root)) {
    response_t r = send_request(args, path, NULL, REQUEST_TIMEOUT_MS);
    json_t* root = r.status == 200 ? json_loads(r.text, 0, NULL) : NULL;
    int code = root ? EX_OK : report_error(&r);
    if (root) {
        (args->is_json ? print_json : print)(root);
    }
    json_decref(root);
    free(r.text);
    return code;
}

static int watch_resources(const args_t* args) {
    long long revision = -1;
    for (;;) {
        char path[URL_MAX];
        snprintf(path, sizeof(path), "/v1/resources/%s?since=%lld&wait_ms=%ld", args->arguments[1], revision,
                 WATCH_WAIT_MS);
        response_t r = send_request(args, path, NULL, WATCH_WAIT_MS + REQUEST_TIMEOUT_MS);
        json_t* root = r.status == 200 ? json_loads(r.text, 0, NULL) : NULL;
        if (!root) {
            int code = report_error(&r);
            free(r.text);
            return code;
        }
        long long now = json_integer_value(json_object_get(root, "revision"));
        if (now != revision) {
            (args->is_json ? print_json : print_table)(root);
            fflush(stdout);
        }
        revision = now;
        json_decref(root);
        free(r.text);
    }
}

static int validate_spec(const args_t* args) {
    json_error_t why;
    json_t* spec = json_load_file(args->arguments[2], 0, &why);
    if (!spec) {
        fprintf(stderr, "%s:%d: %s\n", args->arguments[2], why.line, why.text);
        return EX_DATAERR;
    }
    json_t* root = json_pack("{s:s,s:o}", "key", args->arguments[1], "spec", spec);
    char* body = json_dumps(root, JSON_COMPACT);
    response_t r = send_request(args, "/v1/validate", body, REQUEST_TIMEOUT_MS);
    int code = r.status == 200 ? EX_OK : report_error(&r);
    if (code == EX_OK) {
        printf("%s is valid\n", args->arguments[1]);
    }
    json_decref(root);
    free(body);
    free(r.text);
    return code;
}

/* Prints the history of a request from the log files of the command line. */
static int run_explain(const args_t* args) {
    int line_count = explain_request(args->arguments[1], args->arguments + 2, args->count - 2, stdout);
    if (line_count < 0) {
        fprintf(stderr, "at least one log file cannot be read\n");
        return EX_NOINPUT;
    }
    if (!line_count) {
        fprintf(stderr, "no line for request %s in %d files: none of their daemons read the complete request\n",
                args->arguments[1], args->count - 2);
        return EX_DATAERR;
    }
    return EX_OK;
}

static void print_quarantined(json_t* root) {
    size_t i = 0;
    json_t* item = NULL;
    printf("%-16s  %-16s  %-7s %4s  %s\n", "FINGERPRINT", "WORKSPACE", "VERDICT", "ENDS", "AGAIN IN S");
    json_array_foreach(json_object_get(root, "requests"), i, item) {
        printf("%-16s  %-16s  %-7s %4zu  %lld\n", json_string_value(json_object_get(item, "fingerprint")),
               json_string_value(json_object_get(item, "workspace")),
               json_string_value(json_object_get(item, "verdict")), json_array_size(json_object_get(item, "ends")),
               (long long)json_integer_value(json_object_get(item, "retry_ms")) / 1000);
    }
}

/* The gateway that receives the call propagates the release to all hosts. */
static int release_quarantined(const args_t* args) {
    char path[URL_MAX];
    snprintf(path, sizeof(path), "/held/release?fingerprint=%s&workspace=%s", args->arguments[1],
             args->count > 2 ? args->arguments[2] : "0");
    response_t r = send_request(args, path, "", REQUEST_TIMEOUT_MS);
    if (r.status == 200) {
        printf("%s is released\n", args->arguments[1]);
    } else if (r.status == 404) {
        fprintf(stderr, "%s: no quarantine record for this fingerprint and workspace\n", args->arguments[1]);
    }
    free(r.text);
    return r.status == 200 ? EX_OK : r.status == 404 ? EX_DATAERR : EX_UNAVAILABLE;
}

static int run_command(const args_t* args) {
    const char* command = args->arguments[0];
    char path[URL_MAX];
    if (strcmp(command, "explain") == 0 && args->count >= 3) {
        return run_explain(args);
    }
    if (!args->address) {
        fprintf(stderr, "option -a (address of a host) is required; see --help\n");
        return EX_USAGE;
    }
    if (strcmp(command, "get") == 0 && args->count >= 2) {
        snprintf(path, sizeof(path), "/v1/resources/%s%s%s", args->arguments[1], args->count > 2 ? "/" : "",
                 args->count > 2 ? args->arguments[2] : "");
        return fetch_and_print(args, path, print_table);
    }
    if (strcmp(command, "describe") == 0 && args->count == 3) {
        snprintf(path, sizeof(path), "/v1/resources/%s/%s", args->arguments[1], args->arguments[2]);
        return fetch_and_print(args, path, print_json);
    }
    if (strcmp(command, "watch") == 0 && args->count == 2) {
        return watch_resources(args);
    }
    if (strcmp(command, "validate") == 0 && args->count == 3) {
        return validate_spec(args);
    }
    if (strcmp(command, "held") == 0 && args->count == 1) {
        return fetch_and_print(args, "/held", print_quarantined);
    }
    if (strcmp(command, "release") == 0 && (args->count == 2 || args->count == 3)) {
        return release_quarantined(args);
    }
    if (strcmp(command, "status") == 0 && args->count == 1) {
        return fetch_and_print(args, "/v1/status", print_status);
    }
    fprintf(stderr, "unknown command or wrong number of arguments; see --help\n");
    return EX_USAGE;
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 'o':
            args->is_json = strcmp(arg, "json") == 0;
            return 0;
        case ARGP_KEY_ARG:
            if (args->count == MAX_ARGUMENTS) {
                argp_error(state, "too many arguments");
            }
            args->arguments[args->count++] = arg;
            return 0;
        case ARGP_KEY_END:
            if (!args->count) {
                argp_error(state, "a command is required");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "operator address of a host; for held and release a gateway's metrics address",
         0},
        {"output", 'o', "FORMAT", 0, "table (default) or json", 0},
        {0},
    };
    const struct argp argp = {.options = options,
                              .parser = parse_option,
                              .args_doc =
                                  "get KIND [NAME] | describe KIND NAME | watch KIND | validate KIND/NAME FILE | "
                                  "status | held | release FINGERPRINT [WORKSPACE] | explain ID FILE...",
                              .doc = "Shows declared resources and the state of hosts. KIND: workspaces, classes, "
                                     "pools, upstreams."};
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return run_command(&args);
}
