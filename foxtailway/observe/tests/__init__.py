"""Tests of ``foxtailway.observe``."""
