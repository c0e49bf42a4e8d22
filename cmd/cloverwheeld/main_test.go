package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/platform"
)

// TestWrongSettingsAreOneLineAndExitCode2 guards against settings errors without a remedy or with another exit code.
func TestWrongSettingsAreOneLineAndExitCode2(t *testing.T) {
	t.Setenv(platform.EnvironmentSettings, "")
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	for remedy, arguments := range map[string][]string{
		"set " + platform.EnvironmentSettings: {"cloverwheeld", "check"},
		"name a readable file":                {"cloverwheeld", "serve", "--settings", path + ".none"},
		"is missing; add it":                  {"cloverwheeld", "serve", "--settings", path},
	} {
		err := rootCommand().Run(context.Background(), arguments)
		require.ErrorContains(t, err, remedy)
		require.NotContains(t, err.Error(), "\n")
		require.Equal(t, exitUsage, exitCode(err))
	}
	require.Equal(t, exitFailure, exitCode(errors.New("address in use")))
}

// TestSettingsComeFromTheEnvironment guards against ignoring the settings path in the environment.
func TestSettingsComeFromTheEnvironment(t *testing.T) {
	path := filepath.Join("..", "..", "platform", "testdata", "settings.json")
	t.Setenv(platform.EnvironmentSettings, path)
	require.NoError(t, rootCommand().Run(context.Background(), []string{"cloverwheeld", "check"}))
}
