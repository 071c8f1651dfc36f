/*
    chalkway-soak: runs gateways, a configuration source, engines, services and callers as real processes on loopback,
    injects faults on a seeded schedule, and checks the record of what callers and upstreams saw (tools/soak.h).

    Fault phases, in which faults follow one another and overlap, alternate with calm phases. The program kills only
    processes that it started, by their ids. The exit status is 0 if no check failed. With --keep, or after a failure,
    the directory with the record and the hosts' logs is kept and its path is printed.
*/
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standins/standin.h"
#include "soak_site.h"

#define STARTUP_MS 3000     /* from starting the processes to the first request */
#define FAULT_PHASE_MS 9000 /* length of a fault phase */
#define CALM_PHASE_MS 12000 /* length of a calm phase: settling time and windows of soak_check.c */
#define STOP_DELAY_MS 3000  /* from the callers' last request until the hosts are stopped */

static void on_phase(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (!s->caller_proc) {
        soak_start_callers(s);
        soak_record_event(s, "over start -");
    }
    s->faults_until_ms = standin_now_ms() + FAULT_PHASE_MS;
    soak_faults_begin(s);
    soak_start_timer(s, &s->phase_timer, FAULT_PHASE_MS + CALM_PHASE_MS);
}

static void on_finish(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (s->is_ending) { /* the callers had time to get their responses: stop the hosts */
        for (uint32_t i = 0; i < s->proc_count; i++) {
            proc_t* p = &s->procs[i];
            if (p->kind == PROC_HOST && p->pid) {
                char target[48];
                soak_format_proc_name(p, target, sizeof(target));
                soak_record_event(s, "fault stop %s", target);
                p->is_stopping = true;
                kill(p->pid, SIGTERM);
            }
        }
        return;
    }
    s->is_ending = true;
    ev_timer_stop(s->loop, &s->phase_timer);
    soak_faults_stop(s);
    soak_record_event(s, "finish");
    kill(s->caller_proc->pid, SIGTERM);
    soak_start_timer(s, &s->end_timer, STOP_DELAY_MS);
}

/* -- run and report ------------------------------------------------------- */

static void start(soak_t* s) {
    soak_record_event(s, "fault start -");
    soak_watch_scheduling(s);
    soak_start_source(s);
    /* Odd seeds begin in the middle of a release. */
    for (uint32_t i = 0; i < s->engine_count + s->service_count; i++) {
        s->version = s->seed % 2 ? 1 + i % 2 : 1;
        soak_start_upstream(s, i < s->engine_count);
    }
    for (uint32_t i = 0; i < s->host_count; i++) {
        soak_start_host(s, i);
    }
    ev_timer_init(&s->phase_timer, on_phase, 0.0, 0.0);
    ev_timer_init(&s->end_timer, on_finish, 0.0, 0.0);
    s->phase_timer.data = s->end_timer.data = s;
    soak_start_timer(s, &s->phase_timer, STARTUP_MS);
    soak_start_timer(s, &s->end_timer, STARTUP_MS + (int64_t)s->duration_s * 1000);
}

static void write_record(const soak_t* s) {
    char path[128];
    snprintf(path, sizeof(path), "%s/record", s->dir);
    FILE* file = fopen(path, "w");
    if (file) {
        fwrite(s->record.data, 1, s->record.size, file);
        fclose(file);
    }
}

static void remove_dir(const soak_t* s) {
    char path[128];
    static const char* const kinds[] = {"ini", "log", "sleep"};
    for (uint32_t i = 0; i < s->host_count; i++) {
        for (int k = 0; k < 3; k++) {
            snprintf(path, sizeof(path), "%s/%s.%u.%s", s->dir, s->address_prefix, i + 1, kinds[k]);
            unlink(path);
        }
    }
    snprintf(path, sizeof(path), "%s/record", s->dir);
    unlink(path);
    rmdir(s->dir);
}

static void print_take_ups(const soak_result_t* r) {
    static const char* const causes[] = {"other breaks", "losses of all hosts"};
    static const char* const versions[] = {"one version", "several versions"};
    for (int loss = 0; loss < 2; loss++) {
        for (int mixed = 0; mixed < 2; mixed++) {
            const soak_take_ups_t* t = &r->take_ups[loss][mixed];
            printf("  after %s, %s in service: %u streams taken up, %u gone on, %u refused\n", causes[loss],
                   versions[mixed], t->count, t->gone_on, t->refused);
        }
    }
}

static bool report(const soak_t* s) {
    soak_result_t r = soak_check_record(cw_buffer_text(&s->record), SOAK_GRACE_MS, SOAK_DRAIN_MS);
    bool failed = soak_has_failed(&r);
    printf("seed %" PRIu64
           ": %u sent, %u served, %u refused, %u failed, %u left; calm %u sent, %u served, %u refused\n",
           s->seed, r.sent, r.served, r.refused, r.failed, r.abandoned, r.calm_sent, r.calm_served, r.calm_refused);
    printf("  %u streams resumed by their callers, %u of them completed\n", r.resumed, r.resumed_served);
    printf("  %u losses of all hosts\n", r.host_losses);
    print_take_ups(&r);
    if (r.qod_bodies) {
        printf("  %u queries of death sent %u times: %u upstreams crashed\n", r.qod_bodies, r.qod_sent, r.qod_crashes);
    }
    for (int i = 0; i < SOAK_CHECK_COUNT; i++) {
        if (r.count[i]) {
            printf("  %s %s: %u (allowed %u), first: %s\n",
                   r.count[i] > soak_check_allowed((soak_check_t)i) ? "BROKEN" : "seen",
                   soak_check_name((soak_check_t)i), r.count[i], soak_check_allowed((soak_check_t)i),
                   r.first_finding[i]);
        }
    }
    if (s->late_count) {
        printf("  scheduling of this program was delayed %u times, up to %" PRId64
               " ms; no period near a delay counts as calm\n",
               s->late_count, s->longest_late_ms);
    }
    printf("seed %" PRIu64 ": %s\n", s->seed, failed ? "FAILED" : "passed");
    return !failed;
}

static bool read_record(soak_t* s) {
    char data[65536];
    FILE* file = fopen(s->record_path, "r");
    if (!file) {
        perror(s->record_path);
        return false;
    }
    for (size_t size = 0; (size = fread(data, 1, sizeof(data), file)) > 0;) {
        cw_buffer_add(&s->record, data, size);
    }
    fclose(file);
    return true;
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    soak_t* s = state->input;
    const char* text = arg ? arg : "";
    uint32_t number = (uint32_t)strtoul(text, NULL, 10);
    switch (key) {
        case 'b':
            s->build_dir = arg;
            return 0;
        case 's':
            s->seed = strtoull(text, NULL, 10);
            return 0;
        case 't':
            s->duration_s = number;
            return 0;
        case 'h':
            s->host_count = number;
            return number > 1 && number < 70 ? 0 : EINVAL;
        case 'e':
            s->engine_count = number;
            return 0;
        case 'v':
            s->service_count = number;
            return 0;
        case 'n':
            s->caller_count = number;
            return 0;
        case 'r':
            s->requests_per_s = strtod(text, NULL);
            return 0;
        case 'd':
            s->qod_body_count = number;
            return 0;
        case 'p':
            s->qod_part_count = number;
            return 0;
        case 'k':
            s->keeps_dir = true;
            return 0;
        case 'j':
            s->record_path = arg;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"build", 'b', "DIR", 0, "directory of the programs, default build", 0},
        {"seed", 's', "N", 0, "seed of the schedule and the callers, default 1", 0},
        {"seconds", 't', "N", 0, "duration in seconds, default 54", 0},
        {"hosts", 'h', "N", 0, "number of gateways, default 5", 0},
        {"engines", 'e', "N", 0, "number of engines, default 12", 0},
        {"services", 'v', "N", 0, "number of services, default 3", 0},
        {"callers", 'n', "N", 0, "number of callers, default 60", 0},
        {"rate", 'r', "N", 0, "requests per second, default 120", 0},
        {"deadly", 'd', "N", 0, "bodies that crash every upstream which begins to run them, default 3", 0},
        {"deadly-parts", 'p', "N", 0, "parts of prompts that do so, default 3", 0},
        {"keep", 'k', NULL, 0, "keep the record and the logs", 0},
        {"judge", 'j', "RECORD", 0, "check a saved record instead of running a soak", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Soak test with real processes and injected faults."};
    static soak_t soak = {.build_dir = "build",
                          .seed = 1,
                          .duration_s = 54,
                          .host_count = 5,
                          .engine_count = 12,
                          .version = 1,
                          .service_count = 3,
                          .qod_body_count = 3,
                          .qod_part_count = 3,
                          .caller_count = 60,
                          .requests_per_s = 120};
    soak_t* s = &soak;
    argp_parse(&argp, argc, argv, 0, NULL, s);
    if (s->record_path) {
        return read_record(s) && report(s) ? 0 : 1;
    }
    signal(SIGPIPE, SIG_IGN);
    s->loop = ev_default_loop(0);
    s->client = cw_client_setup(s->loop, 16);
    snprintf(s->address_prefix, sizeof(s->address_prefix), "127.%d.%d", 1 + getpid() / 250 % 250, getpid() % 250);
    snprintf(s->dir, sizeof(s->dir), "/tmp/chalkway-soak-XXXXXX");
    if (!mkdtemp(s->dir)) {
        perror(s->dir);
        return 1;
    }
    start(s);
    ev_run(s->loop, 0);
    soak_kill_processes(s);
    write_record(s);
    bool passed = report(s);
    if (s->keeps_dir || !passed) {
        printf("record and logs: %s\n", s->dir);
    } else {
        remove_dir(s);
    }
    return passed ? 0 : 1;
}
