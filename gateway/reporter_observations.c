/* Observations about suspect requests (a server crashed under one, one is on trial, one was cleared): sent at once,
   forwarded and repeated. */
#include "clock.h"
#include "reporter_internal.h"

/* The hosts that have run longest repeat all observations, so that neither a lost datagram nor a host that just started
   costs a server. They are the ones that observed crashes before others started. 48 observations of 30 bytes a second
   from two hosts are 3 KB/s for each host that receives them. */
#define OBSERVATION_REPEAT_INTERVAL_MS 1000
#define OBSERVATION_REPEATERS 2
#define OBSERVATION_BURST_DATAGRAMS 16 /* sent at once when a host joins; further observations follow by repetition */
/* Delays until a new observation is sent again, since datagrams are lost. */
static const int64_t resend_delays_ms[] = {50, 150};

static void queue_observation(reporter_t* n, const cw_quarantine_observation_t* observation, bool to_other_halls,
                              int64_t due_ms) {
    if (n->pending_count < OBSERVATION_QUEUE_MAX) {
        n->pending[n->pending_count++] = (pending_observation_t){
            .observation = *observation, .to_other_halls = to_other_halls, .due_ms = due_ms, .stamped_ms = clock_ms()};
    }
}

/* Sends the observations that are due in as few datagrams as hold them. to_other_halls: only the observations for other
   halls, otherwise all. */
static void send_due_observations(reporter_t* n, bool to_other_halls, void (*send)(reporter_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < n->pending_count; i++) {
        const pending_observation_t* item = &n->pending[i];
        if (item->due_ms > now_ms || (to_other_halls && !item->to_other_halls)) {
            continue;
        }
        message.observations[message.observation_count] = item->observation;
        message.observations[message.observation_count++].age_ms += (uint32_t)(now_ms - item->stamped_ms);
        if (message.observation_count == CW_LOAD_OBSERVATIONS) {
            send(n, &message);
            message.observation_count = 0;
        }
    }
    if (message.observation_count) {
        send(n, &message);
    }
}

static void drop_sent_observations(reporter_t* n) {
    int64_t now_ms = clock_ms();
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < n->pending_count; i++) {
        if (n->pending[i].due_ms > now_ms) {
            n->pending[remaining++] = n->pending[i];
        }
    }
    n->pending_count = remaining;
}

void reporter_send_observations(reporter_t* n) {
    if (!n->pending_count) {
        return;
    }
    reporter_refresh_peers(n);
    if (n->is_relay) {
        send_due_observations(n, false, reporter_send_to_hall);
        send_due_observations(n, true, reporter_send_to_other_halls);
    } else {
        send_due_observations(n, true, reporter_send_to_relay);
    }
    drop_sent_observations(n);
}

/* The ages of observations show which servers crashed at the same moment, and whether one crashed twice, so they must
   stay exact. After this process stalled they are not known: the datagram may have waited for all of that time. Such
   observations aren't forwarded, since other hosts get them in time. */
void reporter_receive_observations(reporter_t* n, const cw_load_message_t* message, uint32_t delay_ms) {
    uint32_t stall_ms = delay_ms > REPORTER_STALL_MS ? delay_ms : 0;
    for (uint32_t i = 0; i < message->observation_count; i++) {
        cw_quarantine_observation_t observation = message->observations[i];
        observation.age_ms += observation.age_ms < UINT32_MAX - stall_ms ? stall_ms : 0;
        observation.delay_ms = stall_ms;
        if (n->desc.on_observation) {
            n->desc.on_observation(n->desc.user_data, &observation);
        }
        if (message->scope != CW_LOAD_NO_RELAY && !stall_ms) {
            queue_observation(n, &observation, message->scope == CW_LOAD_RELAY_TO_ALL, 0);
            n->stats.forwarded++;
        }
    }
    reporter_send_observations(n);
}

void reporter_repeat_observations(reporter_t* n, int64_t now_ms) {
    if (n->older_hosts >= OBSERVATION_REPEATERS ||
        now_ms - n->observations_repeated_ms < OBSERVATION_REPEAT_INTERVAL_MS || !n->desc.observations) {
        return;
    }
    cw_quarantine_observation_t observations[CW_LOAD_OBSERVATIONS];
    uint32_t count = n->desc.observations(n->desc.user_data, &n->next_observation, observations, CW_LOAD_OBSERVATIONS);
    for (uint32_t i = 0; i < count; i++) {
        queue_observation(n, &observations[i], true, 0);
    }
    n->observations_repeated_ms = now_ms;
}

/* Callers reach a host within milliseconds of its start. Without the observations that host would send suspect
   requests to more servers, so all observations are sent to it at once. */
void reporter_resend_observations(reporter_t* n) {
    n->next_observation = 0;
    for (uint32_t i = 0; i < OBSERVATION_BURST_DATAGRAMS && (!i || n->next_observation); i++) {
        n->observations_repeated_ms = 0;
        reporter_repeat_observations(n, clock_ms());
        reporter_send_observations(n);
    }
}

void reporter_send_observations_to(reporter_t* n, const peer_t* peer) {
    uint32_t next = 0;
    for (uint32_t i = 0; n->desc.observations && i < OBSERVATION_BURST_DATAGRAMS && (!i || next); i++) {
        cw_load_message_t message = {0};
        message.observation_count =
            n->desc.observations(n->desc.user_data, &next, message.observations, CW_LOAD_OBSERVATIONS);
        if (message.observation_count) {
            datagram_t d = reporter_encode(n, &message, CW_LOAD_NO_RELAY);
            reporter_send(n, peer, &d);
        }
    }
}

void reporter_on_observations(reporter_t* n, const cw_quarantine_observation_t* observations, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        queue_observation(n, &observations[i], true, 0);
        for (size_t k = 0; k < sizeof(resend_delays_ms) / sizeof(*resend_delays_ms); k++) {
            queue_observation(n, &observations[i], true, clock_ms() + resend_delays_ms[k]);
        }
    }
    reporter_send_observations(n);
}
